//! The view as scripts see it: values with getters and no setters, which refer to the view instead of copying it.

use std::sync::Arc;

use rhai::{Array, Dynamic, Engine, ImmutableString, Map};

use super::SharedView;
use crate::core::events::Event;
use crate::core::view::View;

/// The type `View` of scripts.
#[derive(Clone)]
struct ScriptView(SharedView);

/// The type `Node` of scripts.
#[derive(Clone)]
struct ScriptNode {
    view: SharedView,
    index: usize,
}

/// The type `Class` of scripts.
#[derive(Clone)]
struct ScriptClass {
    view: Arc<View>,
    index: usize,
}

/// The type `Proxy` of scripts.
#[derive(Clone)]
struct ScriptProxy {
    view: Arc<View>,
    index: usize,
}

/// The type `Event` of scripts.
#[derive(Clone)]
struct ScriptEvent(Arc<Event>);

/// Returns the view as a value of the engine.
pub fn view(view: &SharedView) -> Dynamic {
    Dynamic::from(ScriptView(view.clone()))
}

/// Returns the class at this index of the view as a value of the engine.
pub fn class(view: &SharedView, index: usize) -> Dynamic {
    Dynamic::from(ScriptClass { view: view.view.clone(), index })
}

/// Returns the proxy at this index of the view as a value of the engine.
pub fn proxy(view: &SharedView, index: usize) -> Dynamic {
    Dynamic::from(ScriptProxy { view: view.view.clone(), index })
}

/// Returns an event as a value of the engine.
pub fn event(event: &Event) -> Dynamic {
    Dynamic::from(ScriptEvent(Arc::new(event.clone())))
}

impl ScriptView {
    fn view(&self) -> &View {
        &self.0.view
    }
}

impl ScriptNode {
    fn view(&self) -> &View {
        &self.view.view
    }
}

impl ScriptClass {
    fn view(&self) -> &View {
        &self.view
    }
}

impl ScriptProxy {
    fn view(&self) -> &View {
        &self.view
    }
}

/// Registers getters of a type whose values are entries of a list in the view.
macro_rules! getters {
    ($engine:ident, $type:ty, $list:ident, $($name:literal => |$entry:ident| $value:expr),* $(,)?) => {
        $($engine.register_get($name, |value: &mut $type| {
            let $entry = &value.view().$list[value.index];
            $value
        });)*
    };
}

fn text(text: &str) -> ImmutableString {
    text.into()
}

/// Registers the types and their getters with an engine.
pub fn register(engine: &mut Engine) {
    register_view(engine);
    register_node(engine);
    register_class(engine);
    register_proxy(engine);
    register_event(engine);
}

fn register_view(engine: &mut Engine) {
    engine.register_type_with_name::<ScriptView>("View");
    engine.register_get("now_ms", |view: &mut ScriptView| view.view().now_ms as i64);
    engine.register_get("minute", |view: &mut ScriptView| i64::from(view.view().minute_of_day));
    engine.register_get("strain", |view: &mut ScriptView| i64::from(view.view().strain));
    engine.register_get("parts", |view: &mut ScriptView| i64::from(view.view().part_count));
    engine.register_get("levels", |view: &mut ScriptView| text(&view.view().level_kind));
    engine.register_get("zones", |view: &mut ScriptView| -> Array {
        view.view().zones.iter().map(|zone| Dynamic::from(zone.clone())).collect()
    });
    engine.register_get("nodes", |view: &mut ScriptView| -> Array {
        let node = |index| Dynamic::from(ScriptNode { view: view.0.clone(), index });
        (0..view.view().nodes.len()).map(node).collect()
    });
    engine.register_get("classes", |view: &mut ScriptView| -> Array {
        (0..view.view().classes.len()).map(|index| class(&view.0, index)).collect()
    });
    engine.register_get("proxies", |view: &mut ScriptView| -> Array {
        (0..view.view().proxies.len()).map(|index| proxy(&view.0, index)).collect()
    });
}

fn register_node(engine: &mut Engine) {
    engine.register_type_with_name::<ScriptNode>("Node");
    engine.register_get("name", |node: &mut ScriptNode| node.view.node_names[node.index].clone());
    getters!(engine, ScriptNode, nodes,
        "zone" => |node| text(&node.zone),
        "kind" => |node| i64::from(node.machine_kind),
        "part" => |node| i64::from(node.part),
        "open" => |node| node.ready,
        "warm" => |node| node.warmed_up,
        "done" => |node| node.warm_up_progress,
        "ease" => |node| node.health_share,
        "trial" => |node| node.on_trial,
        "listed" => |node| node.listed_weight,
        "stands" => |node| node.line_weight,
        "tries" => |node| node.tries,
        "lost" => |node| node.failed,
        "mean_ms" => |node| node.mean_ms,
    );
}

fn register_class(engine: &mut Engine) {
    engine.register_type_with_name::<ScriptClass>("Class");
    getters!(engine, ScriptClass, classes,
        "name" => |class| text(&class.name),
        "effect" => |class| class.has_effect,
        "asked" => |class| class.demand,
        "tries" => |class| i64::from(class.retry_policy),
        "amount" => |class| class.admitted_amount,
    );
}

fn register_proxy(engine: &mut Engine) {
    engine.register_type_with_name::<ScriptProxy>("Proxy");
    getters!(engine, ScriptProxy, proxies,
        "proxy" => |proxy| i64::from(proxy.proxy),
        "zone" => |proxy| text(&proxy.zone),
        "rate" => |proxy| proxy.exchanges_per_second,
        "part" => |proxy| proxy.part.map_or(Dynamic::UNIT, |part| Dynamic::from(i64::from(part))),
        "tags" => |proxy| {
            let tag = |(key, value): (&String, &String)| (key.as_str().into(), Dynamic::from(value.clone()));
            proxy.tags.iter().map(tag).collect::<Map>()
        },
    );
}

fn register_event(engine: &mut Engine) {
    engine.register_type_with_name::<ScriptEvent>("Event");
    engine.register_get("kind", |event: &mut ScriptEvent| text(&event.0.kind));
    engine.register_get("node", |event: &mut ScriptEvent| text(&event.0.node));
    engine.register_get("figure", |event: &mut ScriptEvent| event.0.value);
}
