// Machines of one kind warm up worse than the settings say: until their ramp is over they get less.

fn settings() {
    #{ kind: "int", share: #{ "type": "number", "default": 0.5 } }
}

fn admit(view, settings) {
    let shares = #{};
    for node in view.nodes {
        if node.open && !node.warm && node.kind == settings.kind { shares[node.name] = settings.share; }
    }
    shares
}
