"""Choice of the daemons of an availability zone that watch the store."""

from rattangauge.generated import messages
from rattangauge.membership import peers as peers_module
from rattangauge.sidecar import watchers
from tests import builders

LARGE_ZONE_SIZE = 24
# Time for which what a watcher said counts.
TTL_S = 1.2


def address(number):
    """Returns the mesh address of a daemon."""
    return f"127.0.1.{number}:7000"


def peer_table(own, count, zone="zone-1"):
    """Returns the peer table of one daemon in a zone of several."""
    table = peers_module.PeerTable(
        builders.member("own", mesh=address(own), zone=zone)
    )
    for number in range(1, count + 1):
        table.add(
            builders.member(f"i{number}", mesh=address(number), zone="zone-1")
        )
    return table


def addresses(peers):
    return {peer.member.mesh for peer in peers}


def confirm_all(peers, now):
    for peer in peers:
        peer.set_watching(True, now)


def test_all_daemons_of_a_small_zone_watch():
    """Guards against a small zone that depends on one daemon's link."""
    for own in range(1, watchers.MAX_DAEMONS_WITHOUT_FOLLOWERS + 1):
        table = peer_table(own, watchers.MAX_DAEMONS_WITHOUT_FOLLOWERS)
        assert watchers.must_watch(watchers.sources(table), 0.0, TTL_S)


def test_a_few_daemons_of_a_large_zone_watch_and_all_agree_on_them():
    """Guards against whole configurations to all daemons at each change."""
    watching = set()
    polled = set()
    for own in range(1, LARGE_ZONE_SIZE + 1):
        table = peer_table(own, LARGE_ZONE_SIZE)
        sources = watchers.sources(table)
        confirm_all(sources, 10.0)
        if watchers.must_watch(sources, 10.0, TTL_S):
            watching.add(address(own))
        polled |= addresses(sources)
    assert len(watching) == watchers.MIN_WATCHERS
    assert polled <= watching


def test_daemons_of_the_largest_service_watch():
    """Guards against configurations over links that uploads already fill."""
    table = peer_table(1, LARGE_ZONE_SIZE)
    for peer in table:
        number = int(peer.member.mesh.split(":")[0].split(".")[3])
        service = "skladby" if number % 2 else "nahravky"
        service = service if number < LARGE_ZONE_SIZE // 2 else "objednavky"
        peer.member = peer.member._replace(service=service)
    sources = watchers.sources(table)
    assert len(sources) == watchers.SOURCE_COUNT
    for peer in sources:
        assert peer.member.service == "objednavky"


def test_daemons_with_the_fastest_links_watch():
    """Guards against whole configurations over slow links."""
    table = peer_table(1, LARGE_ZONE_SIZE)
    fast = set()
    for number, peer in enumerate(table):
        is_fast = number % 4 == 3
        link_kbps = 70_000 if is_fast else 3_500
        peer.member = peer.member._replace(link_kbps=link_kbps)
        if is_fast:
            fast.add(peer.member.mesh)
    assert addresses(watchers.sources(table)) <= fast


def test_daemons_of_other_zones_are_no_sources():
    """Guards against changes over links between zones, which cost more."""
    table = peer_table(100, LARGE_ZONE_SIZE, zone="zone-2")
    assert watchers.sources(table) == []


def test_a_follower_that_hears_too_few_watchers_watches_itself():
    """Guards against an old configuration while the watchers are cut off."""
    table = next(
        table
        for own in range(1, LARGE_ZONE_SIZE + 1)
        if watchers.sources(table := peer_table(own, LARGE_ZONE_SIZE))
    )
    sources = watchers.sources(table)
    assert watchers.must_watch(sources, 10.0, TTL_S)
    confirm_all(sources, 10.0)
    assert not watchers.must_watch(sources, 10.0, TTL_S)
    assert watchers.must_watch(sources, 10.1 + TTL_S, TTL_S)
    confirm_all(sources, 20.0)
    for peer in sources[: watchers.MIN_CONFIRMED]:
        peer.set_watching(False, 20.1)
    assert watchers.must_watch(sources, 20.1, TTL_S)


def test_watchers_that_hear_the_store_are_polled_first():
    """Guards against sources that do not know yet that they must watch."""
    table = next(
        table
        for own in range(1, LARGE_ZONE_SIZE + 1)
        if watchers.sources(table := peer_table(own, LARGE_ZONE_SIZE))
    )
    first, second, third = watchers.sources(table)
    others = addresses(watchers._zone_watchers(list(table)))
    for address in others - {first.member.mesh, second.member.mesh}:
        peer = table.get(address)
        peer.member = peer.member._replace(watches=True)
    sources = addresses(watchers.sources(table))
    assert third.member.mesh in sources
    assert not {first.member.mesh, second.member.mesh} & sources


def test_watchers_that_cannot_be_reached_are_replaced():
    """Guards against a follower that keeps polling unreachable watchers."""
    table = next(
        table
        for own in range(1, LARGE_ZONE_SIZE + 1)
        if watchers.sources(table := peer_table(own, LARGE_ZONE_SIZE))
    )
    before = watchers.sources(table)
    before[0].record_failure(10.0)
    after = watchers.sources(table)
    assert before[0] not in after


def test_kept_sources_follow_each_change_of_the_peers():
    """Guards against a daemon that polls watchers that have gone."""
    table = next(
        table
        for own in range(1, LARGE_ZONE_SIZE + 1)
        if watchers.sources(table := peer_table(own, LARGE_ZONE_SIZE))
    )
    kept = watchers.Sources(table)
    assert kept.current() is kept.current()

    def fail_first():
        kept.current()[0].record_failure(5.0)

    def answer_again():
        next(peer for peer in table if peer.failures).record_success()

    def leave():
        peer = kept.current()[1]
        state = messages.MemberState.LEFT
        peer.member = peer.member._replace(state=state)

    def hear_the_store():
        peer = kept.current()[2]
        peer.member = peer.member._replace(watches=True)

    def restart():
        member = kept.current()[0].member
        member = member._replace(
            incarnation=member.incarnation + 1, zone="zone-2"
        )
        table.update(messages.PeerNews(member, messages.Load()), 6.0)

    def remove():
        table.remove(kept.current()[0].member.mesh)

    def add():
        table.add(builders.member("new", mesh=address(99), link_kbps=10**6))

    changes = (
        fail_first,
        answer_again,
        leave,
        hear_the_store,
        restart,
        remove,
        add,
    )
    for change in changes:
        change()
        assert kept.current() == watchers.sources(table), change.__name__


def test_kept_lists_of_serving_daemons_follow_each_change():
    """Guards against calls to a daemon whose upstream has left."""
    table = peer_table(1, 3)
    serving = messages.UpstreamState.SERVING
    for peer in table:
        peer.update_load(messages.Load(state=serving), 1.0)
    service = table.own.member.service
    before = table.serving(service)
    assert before and table.serving(service) is before
    load = messages.Load(state=messages.UpstreamState.DRAINING)
    before[0].update_load(load, 2.0)
    assert before[0] not in table.serving(service)
    before[0].update_load(messages.Load(state=serving), 3.0)
    assert before[0] in table.serving(service)
    table.remove(before[-1].member.mesh)
    assert before[-1] not in table.serving(service)
