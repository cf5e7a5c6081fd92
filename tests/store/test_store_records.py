"""The stored format: other versions read it, so it is pinned byte for byte."""

from __future__ import annotations

import orjson
import pytest

from spoolcourse.control.store.keys import (
    CATALOG_KEY,
    FEATURE_LEVEL_KEY,
    INITIAL_MACHINES_KEY,
    LEADER_KEY,
    TERM_KEY,
    final_key,
    initial_machines_part_key,
    job_key,
    parse_progress_key,
    progress_key,
)
from spoolcourse.control.store.records import (
    Assignment,
    FinalState,
    JobRecord,
    LeaderRecord,
    Progress,
    TermRecord,
    feature_level_value,
    initial_machines_values,
)
from spoolcourse.wire.identities import ChunkId
from spoolcourse.wire.messages import JobStage, Submission, parse
from tests.fakes.world import job


def test_keys_keep_their_spelling() -> None:
    assert (LEADER_KEY, TERM_KEY) == ("spoolcourse/live/leader", "spoolcourse/live/term")
    assert (FEATURE_LEVEL_KEY, CATALOG_KEY) == (
        "spoolcourse/live/level",
        "spoolcourse/live/catalog",
    )
    assert INITIAL_MACHINES_KEY == "spoolcourse/live/base"
    assert initial_machines_part_key(1) == "spoolcourse/live/base/1"
    assert job_key("j-1") == "spoolcourse/live/job/j-1"
    assert final_key("j-1") == "spoolcourse/fin/j-1"
    assert progress_key("j-1", 2) == "spoolcourse/live/prog/j-1/2"
    assert parse_progress_key(progress_key("j-1", 2)) == ChunkId("j-1", 2) == ("j-1", 2)


def test_progress_keeps_its_stored_format() -> None:
    progress = Progress(0b1011, {2: Assignment("m-1", 9)})
    stored = b'{"done":"b","held":{"2":["m-1",9]}}'
    assert orjson.dumps(progress.value()) == stored
    decoded = Progress.from_value(orjson.loads(stored))
    assert decoded == progress
    assert decoded.held[2].machine == "m-1"
    assert decoded.held[2].attempt == 9
    assert Progress.counts_of(orjson.loads(stored)) == (3, 1)


@pytest.mark.parametrize("pair", [["m-1"], ["m-1", 9, 9]])
def test_progress_with_a_malformed_assignment_is_refused(pair: list[object]) -> None:
    with pytest.raises(ValueError, match="values to unpack"):
        Progress.from_value({"done": "0", "held": {"2": pair}})


def test_job_records_keep_their_stored_format() -> None:
    submission = parse(job(), Submission)
    record = JobRecord(submission, 7.5, 16, None, 3)
    value = record.value()
    assert list(value) == ["sub", "at", "chunk"]
    assert (value["at"], value["chunk"]) == (7.5, 16)
    cancelled = JobRecord(submission, 7.5, 16, 9.0, 3).value()
    assert cancelled == value | {"aborted": 9.0}
    assert list(cancelled)[-1] == "aborted"
    assert JobRecord.from_value(orjson.loads(orjson.dumps(value)), 3) == record


def test_terms_final_states_and_machine_lists_keep_their_stored_format() -> None:
    term = TermRecord(4, "run-1", 7)
    assert orjson.dumps(term.value()) == b'{"term":4,"run":"run-1","hold":7}'
    leader = LeaderRecord(term, "n0").value()
    assert orjson.dumps(leader) == b'{"term":4,"run":"run-1","hold":7,"label":"n0"}'
    assert (LeaderRecord.label_of(leader), LeaderRecord.run_id_of(leader)) == ("n0", "run-1")
    final = FinalState(JobStage.DONE, 4, 7.5)
    stage = JobStage.DONE.value
    assert orjson.dumps(final.value()) == b'{"stage":"%s","done":4,"at":7.5}' % stage.encode()
    assert orjson.dumps(feature_level_value(2)) == b'{"level":2}'
    # A limit of 60 bytes leaves 20 for the names, with their quotes and separators.
    assert orjson.dumps(initial_machines_values(["m-000001", "m-000002"], 60)) == (
        b'[{"machines":["m-000001"],"parts":1},{"machines":["m-000002"]}]'
    )
