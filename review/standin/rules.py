"""The rules as the pages word them, checked on what the stand-in's proxies and endpoints see."""

SLACK = 0.3          # the time limits of the rules on sockets are 300 ms longer
FIRST_ANSWER = 1.0   # and start no earlier than 1 s after the controller first answered


def watch_lines(world):
    """Rule 1: a joined proxy lacks a line to pick for a class for longer than domain.blackhole_ms, while the list shows
    an endpoint that is open to the class as running, and last started rules.warm_up_ms ago or more."""
    since = {}
    limit = world.domain["blackhole_ms"] / 1000 + SLACK

    def check():
        now = world.now()
        for proxy in world.proxies.values():
            for klass in world.classes:
                own = world.own_zone[klass]
                is_open = lambda endpoint: not own or endpoint.zone == proxy.zone
                lines = [name for name in proxy.lines(klass) if is_open(world.endpoints[name])]
                listed = any(is_open(one) and world.listed_warm(one) for one in world.endpoints.values())
                key = (proxy.node, klass)
                if lines or not listed or not proxy.joined:
                    if key in since and now - since[key] > 0.5:
                        world.record("proxy %d (%s) lacked a line for %s for %.1f s" %
                                     (proxy.node, proxy.zone, klass, now - since[key]))
                    since.pop(key, None)
                    continue
                start = since.setdefault(key, now)
                start = max(start, world.answered_at + FIRST_ANSWER, proxy.joined_at)
                if now - start > limit:
                    world.violation(("lines", key), "no server left: joined proxy %d of %s has had no line to pick for %s "
                                    "for %.1f s (limit %.1f s), while its list shows %s as active and warm" %
                                    (proxy.node, proxy.zone, klass, now - start, limit,
                                     [one.name for one in world.endpoints.values()
                                      if is_open(one) and world.listed_warm(one)]))

    world.on_tick.append(check)


def watch_drains(world):
    """Rule 3: a joined proxy sends to an endpoint more than rules.stop_sending_within_ms after the controller was told
    that it is leaving or has left. The clock starts when the proxy joins, if that is later."""
    grace = world.settings["rules"]["stop_sending_within_ms"] / 1000 + SLACK
    late = world.late_sends = {}
    world.latest = {}

    def on_send(proxy, klass, endpoint):
        told = [at for health, at in world.told[endpoint.name].items() if health != "active"]
        if endpoint.health == "active" or not told or not proxy.joined:
            return
        start = max(min(told), proxy.joined_at, world.answered_at + FIRST_ANSWER)
        world.latest[endpoint.name] = max(world.latest.get(endpoint.name, 0), world.now() - start)
        if world.now() - start > grace:
            late[endpoint.name] = late.get(endpoint.name, 0) + 1
            world.violation(("drain", endpoint.name), "safe drain: joined proxy %d sends a %s to %s %.1f s after the "
                            "controller was told that it is leaving (limit %.1f s)" %
                            (proxy.node, klass, endpoint.name, world.now() - start, grace))

    world.on_send = on_send

