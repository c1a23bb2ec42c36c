// Gives up a cheap class first: only a share of it is admitted while capacity is short, and it is not tried again
// while capacity is tense or short.

fn settings() {
    #{ cheap: #{ "type": "string", "default": "quote" }, share: #{ "type": "number", "default": 0.5 } }
}

fn level(class, view, settings) {
    if class.name == settings.cheap && view.strain == 2 { return settings.share; }
}

fn tries(class, view, settings) {
    if class.name == settings.cheap && view.strain >= 1 { return 0; }
}

// Counts the events, so that the other functions of this script can use the count.
fn notice(event, view, settings) {
    let seen = if "seen" in this { this.seen } else { 0 };
    this.seen = seen + 1;
}
