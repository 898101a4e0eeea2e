"""Tests of configuration versions in the store with concurrent patches and lost answers."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any, NamedTuple
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Err, Ok, Result

from greengagefall.routing import registry
from greengagefall.routing.exceptions import (
    ConfigError,
    ConfigRecordError,
    PatchOutcomeUnknownError,
    RegistryUnavailableError,
    StalePatchError,
)
from greengagefall.routing.holder import ConfigHolder
from greengagefall.routing.patch import Patch, merge_patch
from greengagefall.routing.records import (
    CONFIG_PREFIX,
    config_key,
    load_current_config,
    load_version,
    parse_config_record,
)
from greengagefall.routing.registry import FLOOR_KEY, propose
from greengagefall.store.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from greengagefall.store.model import Compare, KeyValue, Put, TxnOutcome, absent
from greengagefall.utils.invariants import reset_violations, violations

if TYPE_CHECKING:
    from collections.abc import Coroutine, Generator

KEPT_VERSIONS = 3
MAX_OPERATORS = 4
ZONES = ("tanta", "mansoura")
FAULTS = ("none", "unavailable", "lost", "lost_after", "delayed")


class Call(NamedTuple):
    """A pending store call."""

    method: str
    arguments: tuple

    def __await__(self) -> Generator[Call, Any, Any]:
        return (yield self)


class SteppedStore:
    """A store whose calls suspend the caller until the test sends the result."""

    async def range(self, prefix: str) -> Result:
        return await Call("range", (prefix,))

    async def get(self, key: str) -> Result:
        return await Call("get", (key,))

    async def txn(self, compares: list, puts: list, deletes: list = ()) -> Result:
        return await Call("txn", (compares, puts, deletes))


class Records:
    """The records of a store; executes one call at a time.

    Attributes:
        rows: Stored documents by key.
        created: Documents of all versions in the order of creation, including deleted ones.
    """

    def __init__(self) -> None:
        self.rows: dict[str, dict] = {}
        self.created: list[dict] = []

    def execute(self, call: Call) -> Any:
        """Executes ``call`` and returns its value."""
        return getattr(self, "_" + call.method)(*call.arguments)

    def _range(self, prefix: str) -> tuple[list[KeyValue], int]:
        rows = [self._row(key) for key in sorted(self.rows) if key.startswith(prefix)]
        return rows, len(self.created)

    def _get(self, key: str) -> KeyValue | None:
        return self._row(key) if key in self.rows else None

    def _row(self, key: str) -> KeyValue:
        return KeyValue(key, self.rows[key], 1, 1, 0)

    def _txn(self, compares: list[Compare], puts: list[Put], deletes: list[str]) -> TxnOutcome:
        if not all(self._holds(compare) for compare in compares):
            return TxnOutcome(False, len(self.created))
        for put in puts:
            self.rows[put.key] = put.value
            if put.key.startswith(CONFIG_PREFIX):
                self.created.append(put.value)
        for key in deletes:
            self.rows.pop(key, None)
        return TxnOutcome(True, len(self.created))

    def _holds(self, compare: Compare) -> bool:
        return (compare.key in self.rows) == (compare != absent(compare.key))


def run_to_end(records: Records, coroutine: Coroutine) -> Any:
    """Runs ``coroutine`` to its end with a store that answers every call."""
    value = None
    while True:
        try:
            call = coroutine.send(value)
        except StopIteration as stop:
            return stop.value
        value = Ok(records.execute(call))


async def no_pause(attempt: int) -> None:
    """Replaces ``wait_backoff``; does not wait."""


class Operator:
    """A suspended proposal of a patch.

    Attributes:
        patch: The proposed patch.
        coroutine: The suspended call of ``propose``.
        call: The pending store call.
        create_pending: Whether a request to create a version took effect or still may.
    """

    def __init__(self, patch: Patch) -> None:
        self.patch = patch
        self.coroutine = propose(SteppedStore(), patch, pause=no_pause, kept_versions=KEPT_VERSIONS)
        self.call: Call | None = None
        self.create_pending = False


class RegistryMachine(RuleBasedStateMachine):
    """Operators propose patches concurrently; store calls fail, are delayed or lose their answer.

    The oracle is the list of versions in the order of their creation.
    """

    def __init__(self) -> None:
        super().__init__()
        reset_violations()
        self.records = Records()
        self.running: list[Operator] = []
        self.proposed: list[Patch] = []
        self.delayed: list[Call] = []
        self.unaccepted: set[str] = set()
        self.holder = ConfigHolder()
        self.highest_offered = 0

    def teardown(self) -> None:
        """Closes proposals with a pending store call."""
        for operator in self.running:
            operator.coroutine.close()
        self.assert_sound()

    @precondition(lambda self: len(self.running) < MAX_OPERATORS)
    @rule(
        behind=st.integers(0, 2), zone=st.sampled_from(ZONES), state=st.sampled_from(["in", "out"])
    )
    def start_patch(self, behind: int, zone: str, state: str) -> None:
        base = max(0, len(self.records.created) - behind)
        self.start(self.new_patch(base, {"zones": {zone: {"state": state}}}))

    @precondition(lambda self: self.proposed and len(self.running) < MAX_OPERATORS)
    @rule(data=st.data())
    def start_patch_again(self, data: st.DataObject) -> None:
        self.start(data.draw(st.sampled_from(self.proposed)))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), fault=st.sampled_from(FAULTS))
    def answer_call(self, data: st.DataObject, fault: str) -> None:
        operator = self.running.pop(data.draw(st.integers(0, len(self.running) - 1)))
        self.resume(operator, self.result_of(operator, fault))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), fault=st.sampled_from(FAULTS[1:]))
    def fail_until_outcome(self, data: st.DataObject, fault: str) -> None:
        operator = self.running.pop(data.draw(st.integers(0, len(self.running) - 1)))
        self.resume(operator, self.result_of(operator, fault))
        while operator in self.running:
            self.running.remove(operator)
            read = operator.call.method == "range" and fault == "delayed"
            self.resume(operator, self.result_of(operator, "none" if read else fault))

    @rule(count=st.integers(1, KEPT_VERSIONS + 1))
    def advance_versions(self, count: int) -> None:
        for _ in range(count):
            patch = self.new_patch(len(self.records.created), {"zones": {ZONES[0]: {}}})
            operator = Operator(patch)
            self.check_outcome(operator, run_to_end(self.records, operator.coroutine))

    @precondition(lambda self: self.delayed)
    @rule(data=st.data())
    def process_delayed_call(self, data: st.DataObject) -> None:
        self.records.execute(self.delayed.pop(data.draw(st.integers(0, len(self.delayed) - 1))))

    @precondition(lambda self: self.records.created)
    @rule(data=st.data())
    def offer_version(self, data: st.DataObject) -> None:
        document = data.draw(st.sampled_from(self.records.created))
        config = parse_config_record(config_key(document["version"]), document).unwrap()
        self.holder.apply_if_newer(config)
        self.highest_offered = max(self.highest_offered, config.version)

    @invariant()
    def assert_sound(self) -> None:
        created_ids = [document["patch_id"] for document in self.records.created]
        versions = [document["version"] for document in self.records.created]
        assert versions == list(range(1, len(versions) + 1)), versions
        assert len(set(created_ids)) == len(created_ids), "a patch was accepted twice"
        assert not self.unaccepted & set(created_ids), "a refused patch was accepted"
        assert self.holder.current.version == self.highest_offered
        assert violations() == {}

    def new_patch(self, base_version: int, merge: dict) -> Patch:
        """Returns a patch with a new id."""
        patch = Patch(base_version, f"patch-{len(self.proposed)}", merge)
        self.proposed.append(patch)
        return patch

    def start(self, patch: Patch) -> None:
        """Starts an operator that proposes ``patch``, up to its first store call."""
        self.resume(Operator(patch), None)

    def resume(self, operator: Operator, value: Any) -> None:
        """Resumes the operator until its next store call or its outcome."""
        try:
            operator.call = operator.coroutine.send(value)
        except StopIteration as stop:
            self.check_outcome(operator, stop.value)
        else:
            self.running.append(operator)

    def result_of(self, operator: Operator, fault: str) -> Result:
        """Returns the result that the operator gets for its call under ``fault``."""
        call = operator.call
        is_create = call.method == "txn" and bool(call.arguments[0])
        if fault == "none":
            return Ok(self.records.execute(call))
        if fault == "unavailable":
            return Err(StoreUnavailableError("refused"))
        if fault == "lost_after":
            outcome = self.records.execute(call)
            operator.create_pending |= is_create and outcome.succeeded
        if fault == "delayed" and is_create:
            self.delayed.append(call)
            operator.create_pending = True
        return Err(StoreOutcomeUnknownError("timed out"))

    def check_outcome(self, operator: Operator, outcome: Result) -> None:
        """Compares the operator's outcome with the created versions."""
        patch = operator.patch
        created = self.records.created
        version = patch.base_version + 1
        if isinstance(outcome, Ok):
            assert outcome.ok_value.document == created[version - 1]
            base = created[version - 2] if version > 1 else {}
            merged = merge_patch(base, patch.merge)
            assert created[version - 1] == {
                **merged,
                "version": version,
                "patch_id": patch.patch_id,
            }
            return
        error = outcome.err_value
        if isinstance(error, StalePatchError):
            assert error.current_version <= len(created)
            assert error.current_version != patch.base_version
            if config_key(version) in self.records.rows or operator.create_pending:
                self.unaccepted.add(patch.patch_id)
            return
        if isinstance(error, RegistryUnavailableError):
            assert not operator.create_pending
            return
        assert isinstance(error, PatchOutcomeUnknownError), error


@mock.patch.object(registry, "MAX_ATTEMPTS", 3)
class RegistryMachineTests(RegistryMachine.TestCase):
    settings = settings(max_examples=150, stateful_step_count=50)


class RegistryTests(unittest.TestCase):
    def setUp(self):
        self.records = Records()

    def propose(self, base: int, patch_id: str, merge: dict) -> Result:
        patch = Patch(base, patch_id, merge)
        return run_to_end(self.records, propose(SteppedStore(), patch, kept_versions=KEPT_VERSIONS))

    def test_no_version_before_the_first_patch(self):
        self.assertEqual(run_to_end(self.records, load_current_config(SteppedStore())), Ok(None))

    def test_old_versions_are_deleted(self):
        for base in range(6):
            self.propose(base, f"p{base}", {"zones": {"tanta": {}}}).unwrap()
        kept = [config_key(version) for version in (4, 5, 6)]
        self.assertEqual(sorted(self.records.rows), [*kept, FLOOR_KEY])
        self.assertEqual(
            run_to_end(self.records, load_current_config(SteppedStore())).unwrap().version, 6
        )
        self.assertEqual(run_to_end(self.records, load_version(SteppedStore(), 2)), Ok(None))

    def test_delayed_creation_changes_nothing(self):
        for accepted_before in range(3):
            for accepted_after in (1, KEPT_VERSIONS + 2):
                with self.subTest(before=accepted_before, after=accepted_after):
                    self.records = Records()
                    self.advance(accepted_before)
                    delayed_call = self.creation_call(accepted_before)
                    self.advance(accepted_after)
                    rows = dict(self.records.rows)
                    self.assertFalse(self.records.execute(delayed_call).succeeded)
                    self.assertEqual(self.records.rows, rows)

    def test_accepted_patch_whose_version_is_deleted_is_not_reported_stale(self):
        operator = Operator(Patch(0, "p", {"zones": {"tanta": {}}}))
        read = operator.coroutine.send(None)
        create = operator.coroutine.send(Ok(self.records.execute(read)))
        self.records.execute(create)
        read = operator.coroutine.send(Err(StoreOutcomeUnknownError("timed out")))
        self.advance(KEPT_VERSIONS + 1)
        with self.assertRaises(StopIteration) as stop:
            operator.coroutine.send(Ok(self.records.execute(read)))
        self.assertIsInstance(stop.exception.value.unwrap_err(), PatchOutcomeUnknownError)

    def advance(self, count: int) -> None:
        """Creates ``count`` versions."""
        for _ in range(count):
            base = len(self.records.created)
            self.propose(base, f"next-{base}", {"zones": {"tanta": {}}}).unwrap()

    def creation_call(self, base: int) -> Call:
        """Returns the call that creates the version after ``base``, not yet executed."""
        operator = Operator(Patch(base, "late", {"zones": {"mansoura": {}}}))
        self.addCleanup(operator.coroutine.close)
        read = operator.coroutine.send(None)
        return operator.coroutine.send(Ok(self.records.execute(read)))

    def test_document_that_breaks_a_rule_is_refused(self):
        error = self.propose(0, "p", {"zones": {"tanta": {"state": "up"}}}).unwrap_err()
        self.assertIsInstance(error, ConfigError)
        self.assertEqual(self.records.rows, {})

    def test_patch_id_of_another_patch_is_refused(self):
        self.propose(0, "p", {"zones": {"tanta": {}}}).unwrap()
        error = self.propose(0, "p", {"zones": {"mansoura": {}}}).unwrap_err()
        self.assertEqual(error.path, "patch_id")

    def test_error_of_an_invalid_record_has_its_key(self):
        for key, document in [
            (config_key(1), {"version": 2}),
            (config_key(1), {"version": 1, "zones": 3}),
            ("config/one", {}),
        ]:
            self.records.rows = {key: document}
            error = run_to_end(self.records, load_current_config(SteppedStore())).unwrap_err()
            self.assertIsInstance(error, ConfigRecordError)
            self.assertEqual(error.key, key)


if __name__ == "__main__":
    unittest.main()
