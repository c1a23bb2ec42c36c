//! The view as scripts see it: values that can be read and not changed, made without copying the view.

use std::sync::Arc;

use rhai::{Array, Dynamic, Engine, ImmutableString};

use super::Shown;
use crate::core::events::Event;
use crate::core::view::View;

#[derive(Clone)]
struct SeenView(Shown);

/// One entry of a list in the view.
#[derive(Clone)]
struct Node(Shown, usize);
#[derive(Clone)]
struct Class(Arc<View>, usize);
#[derive(Clone)]
struct Proxy(Arc<View>, usize);
#[derive(Clone)]
struct Happened(Arc<Event>);

pub fn view(shown: &Shown) -> Dynamic {
    Dynamic::from(SeenView(shown.clone()))
}

pub fn class(shown: &Shown, place: usize) -> Dynamic {
    Dynamic::from(Class(shown.0.clone(), place))
}

pub fn proxy(shown: &Shown, place: usize) -> Dynamic {
    Dynamic::from(Proxy(shown.0.clone(), place))
}

pub fn event(event: &Event) -> Dynamic {
    Dynamic::from(Happened(Arc::new(event.clone())))
}

impl Node {
    fn view(&self) -> &View {
        &self.0.0
    }
}

impl Class {
    fn view(&self) -> &View {
        &self.0
    }
}

impl Proxy {
    fn view(&self) -> &View {
        &self.0
    }
}

/// Getters of one type, each by its field.
macro_rules! getters {
    ($engine:ident, $type:ty, $list:ident, $($name:literal => |$entry:ident| $value:expr),* $(,)?) => {
        $($engine.register_get($name, |seen: &mut $type| {
            let $entry = &seen.view().$list[seen.1];
            $value
        });)*
    };
}

fn text(text: &str) -> ImmutableString {
    text.into()
}

pub fn register(engine: &mut Engine) {
    engine.register_type_with_name::<SeenView>("View");
    engine.register_get("now_ms", |view: &mut SeenView| view.0.0.now_ms as i64);
    engine.register_get("minute", |view: &mut SeenView| i64::from(view.0.0.minute));
    engine.register_get("strain", |view: &mut SeenView| i64::from(view.0.0.strain));
    engine.register_get("parts", |view: &mut SeenView| i64::from(view.0.0.parts));
    engine.register_get("levels", |view: &mut SeenView| text(&view.0.0.levels));
    engine.register_get("zones", |view: &mut SeenView| -> Array {
        view.0.0.zones.iter().map(|zone| Dynamic::from(zone.clone())).collect()
    });
    engine.register_get("nodes", |view: &mut SeenView| -> Array {
        (0..view.0.0.nodes.len()).map(|place| Dynamic::from(Node(view.0.clone(), place))).collect()
    });
    engine.register_get("classes", |view: &mut SeenView| -> Array {
        (0..view.0.0.classes.len()).map(|place| Dynamic::from(Class(view.0.0.clone(), place))).collect()
    });
    engine.register_get("proxies", |view: &mut SeenView| -> Array {
        (0..view.0.0.proxies.len()).map(|place| Dynamic::from(Proxy(view.0.0.clone(), place))).collect()
    });
    engine.register_type_with_name::<Node>("Node");
    engine.register_get("name", |node: &mut Node| node.0.1[node.1].clone());
    getters!(engine, Node, nodes,
        "zone" => |node| text(&node.zone),
        "kind" => |node| i64::from(node.kind),
        "part" => |node| i64::from(node.part),
        "open" => |node| node.open,
        "warm" => |node| node.warm,
        "done" => |node| node.done,
        "ease" => |node| node.ease,
        "trial" => |node| node.trial,
        "listed" => |node| node.listed,
        "stands" => |node| node.stands,
        "tries" => |node| node.tries,
        "lost" => |node| node.lost,
        "mean_ms" => |node| node.mean_ms,
    );
    engine.register_type_with_name::<Class>("Class");
    getters!(engine, Class, classes,
        "name" => |class| text(&class.name),
        "effect" => |class| class.effect,
        "asked" => |class| class.asked,
        "tries" => |class| i64::from(class.tries),
        "amount" => |class| class.amount,
    );
    engine.register_type_with_name::<Proxy>("Proxy");
    getters!(engine, Proxy, proxies,
        "proxy" => |proxy| i64::from(proxy.proxy),
        "zone" => |proxy| text(&proxy.zone),
        "rate" => |proxy| proxy.rate,
        "part" => |proxy| proxy.part.map_or(Dynamic::UNIT, |part| Dynamic::from(i64::from(part))),
        "tags" => |proxy| {
            let tag = |(key, value): (&String, &String)| (key.as_str().into(), Dynamic::from(value.clone()));
            proxy.tags.iter().map(tag).collect::<rhai::Map>()
        },
    );
    engine.register_type_with_name::<Happened>("Event");
    engine.register_get("kind", |event: &mut Happened| text(&event.0.kind));
    engine.register_get("node", |event: &mut Happened| text(&event.0.node));
    engine.register_get("figure", |event: &mut Happened| event.0.figure);
}
