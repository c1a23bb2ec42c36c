// Gives nodes of one kind a lower share until they are warm, as they warm up more slowly than the settings say.

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
