// Prefers one zone at night: its nodes keep their whole weight, and those of other zones get a lower share.

fn settings() {
    #{ zone: "string", begins: #{ "type": "int", "default": 22 }, ends: #{ "type": "int", "default": 6 },
       others: #{ "type": "number", "default": 0.5 } }
}

fn shape(view, settings) {
    let hour = view.minute / 60;
    let night = hour >= settings.begins || hour < settings.ends;
    if !night { return; }
    let shares = #{};
    for node in view.nodes {
        if node.open && node.zone != settings.zone { shares[node.name] = settings.others; }
    }
    shares
}
