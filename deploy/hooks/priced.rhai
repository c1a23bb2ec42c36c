// Classes are priced: while the fleet falls short, the cheap one waits, and in a tense one it is not tried again.

fn settings() {
    #{ cheap: #{ "type": "string", "default": "quote" }, share: #{ "type": "number", "default": 0.5 } }
}

fn level(class, view, settings) {
    if class.name == settings.cheap && view.strain == 2 { return settings.share; }
}

fn tries(class, view, settings) {
    if class.name == settings.cheap && view.strain >= 1 { return 0; }
}

// Counts what it was told, for others of its points to go by.
fn notice(event, view, settings) {
    let seen = if "seen" in this { this.seen } else { 0 };
    this.seen = seen + 1;
}
