"""Planted faults in dispatch rights that the exploration must catch.

python -m greengagefall.tests.planted_rights --runs 3000 --seed 0
"""

from __future__ import annotations

import click

from greengagefall.bench.explore_rights import PROFILES, Parts, describe, explore
from greengagefall.bench.rights_model_hosts import CoordinatorModel
from greengagefall.coordination.dispatch_right import DispatchRight, majority_size

PLANTED: dict[str, Parts] = {}


# The exploration catches these in about one of several thousand runs; coordinator_members_tests has
# a focused test.
RARE = frozenset({"OldAnswersCount"})


def planted(cls: type) -> type:
    """Registers a planted fault under the name of its class."""
    is_right = issubclass(cls, DispatchRight)
    PLANTED[cls.__name__] = Parts(right_class=cls) if is_right else Parts(coordinator_class=cls)
    return cls


@planted
class NoWait(DispatchRight):
    """A majority of moves opens the right to any candidate without the wait."""

    def _open(self, now_s):
        if len(self._moved_at_s) >= majority_size(self.previous_witnesses):
            self._is_open = True
        super()._open(now_s)


@planted
class StoodDownIsEnough(DispatchRight):
    """A right that was open in the previous epoch stays open without any moves."""

    def _change_group(self, *args):
        super()._change_group(*args)
        self._is_open = self._is_open or self._may_carry


@planted
class MovesAloneCarry(DispatchRight):
    """A right that may carry over opens on any majority of moves, carried or not."""

    def _open(self, now_s):
        if self._may_carry and len(self._moved_at_s) >= majority_size(self.previous_witnesses):
            self._is_open = True
        super()._open(now_s)


@planted
class CountsFromReceipt(DispatchRight):
    """The validity of an endorsement is counted from the receipt of the reply."""

    def on_reply(self, reply, sent_at_s):
        super().on_reply(reply, max(sent_at_s, self._clock.now_s()))


@planted
class NoFenceRound(DispatchRight):
    """The fence is used before a majority has stored it, and the epoch is not part of it."""

    def _draw_fence(self):
        self.fence = self._seen_fence + 1

    def _update(self, now_s):
        super()._update(now_s)
        if self.fence:
            self._valid_until_s = max(self._majority_until_s(), self._previous_valid_until_s)


@planted
class NoReleaseFloor(DispatchRight):
    """The slice map versions that witnesses store are ignored."""

    def map_floor(self):
        return 0


@planted
class NoRecordFloor(DispatchRight):
    """The floors in the members record are ignored."""

    def set_members(self, record):
        super().set_members(record._replace(map_floors={}))


@planted
class OldAnswersCount(CoordinatorModel):
    """Answers to requests sent before the record was read also prove ends and moves."""

    def forget(self):
        pass


@click.command()
@click.option("--runs", default=3000)
@click.option("--seed", default=0)
@click.option("--profile", type=click.Choice(sorted(PROFILES)), default="harsh")
@click.option("--workers", default=2)
def main(runs: int, seed: int, profile: str, workers: int) -> None:
    """Prints for each planted fault in how many runs it was caught."""
    for name, parts in PLANTED.items():
        results = explore(range(seed, seed + runs), profile, parts, workers)
        click.echo(f"{name}: {describe(results)}")


if __name__ == "__main__":
    main()
