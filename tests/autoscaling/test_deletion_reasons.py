"""What is wrong with a machine, and when its silence says nothing about it."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from spoolcourse.control.autoscaling.deletion_reason import DeletionReason
from spoolcourse.control.autoscaling.machine_faults import ISOLATION_MACHINES_MIN, MachineFaults
from spoolcourse.control.autoscaling.machine_type_lookup import MachineTypeLookup
from spoolcourse.control.workers.machine import Machine
from spoolcourse.policy.keys import Policy
from spoolcourse.wire.messages import ListedMachineStage

NOW = 10_000.0
LEASE_S = 10.0
SUSPECT_S = 3.0
PATIENCE_S = 3 * LEASE_S


def faults(*machines: Machine) -> MachineFaults:
    """The judgement of a leader that knows these machines."""
    workers = SimpleNamespace(lease_s=LEASE_S, suspect_after_s=SUSPECT_S)
    params = SimpleNamespace(workers=workers, cloud=SimpleNamespace(list_lag_s=4.0))
    registry = SimpleNamespace(
        machines={machine.id: machine for machine in machines},
        is_suspect=lambda machine: machine.is_overdue(NOW, SUSPECT_S),
    )
    leader = SimpleNamespace(
        controller=SimpleNamespace(params=params),
        policy=Policy(silent_leases=PATIENCE_S / LEASE_S, boot_patience=3.0),
        registry=registry,
    )
    return MachineFaults(cast(Any, leader), MachineTypeLookup(dict))


def healthy(name: str = "m-000001", **changes: Any) -> Machine:
    """A machine that reports and takes answers, but for the changes."""
    machine = Machine(
        id=name,
        first_seen_at=NOW - 900.0,
        confirmed=True,
        last_heartbeat_at=NOW - 1.0,
        last_own_heartbeat_at=NOW - 1.0,
        fencing_token_seen_at=NOW - 1.0,
    )
    for field, value in changes.items():
        setattr(machine, field, value)
    return machine


def booting(rented_s_ago: float, **changes: Any) -> Machine:
    """A machine of an unknown type (60 s to boot) that has not been heard of."""
    ready_at = NOW - rented_s_ago + 60.0
    return healthy(last_heartbeat_at=None, expected_ready_at=ready_at, confirmed=False, **changes)


@pytest.mark.parametrize(
    ("machine", "reason"),
    [
        (healthy(), None),
        (healthy(last_heartbeat_at=NOW - PATIENCE_S), None),
        (healthy(last_heartbeat_at=NOW - PATIENCE_S - 1.0), DeletionReason.SILENT),
        (healthy(unresponsive_since=NOW - PATIENCE_S), None),
        (healthy(unresponsive_since=NOW - PATIENCE_S - 1.0), DeletionReason.UNRESPONSIVE),
        (
            healthy(fencing_token_seen_at=NOW - PATIENCE_S - 1.0),
            DeletionReason.FENCING_TOKEN_NOT_SEEN,
        ),
        (booting(180.0), None),
        (booting(181.0), DeletionReason.BOOT_OVERDUE),
        (booting(181.0, first_seen_at=NOW - SUSPECT_S - 8.0), None),
        (booting(181.0, listed_stage=ListedMachineStage.RUNNING), DeletionReason.SILENT),
        (
            booting(
                181.0,
                listed_stage=ListedMachineStage.RUNNING,
                listed_running_since=NOW - PATIENCE_S,
            ),
            None,
        ),
    ],
)
def test_silence_counts_only_while_this_controller_may_judge_it(
    machine: Machine, reason: DeletionReason | None
) -> None:
    judge = faults(machine)
    assert judge.find_fault(machine, NOW, treat_silence_as_fault=True) is reason
    assert judge.find_fault(machine, NOW, treat_silence_as_fault=False) is None


@pytest.mark.parametrize("treat_silence_as_fault", [True, False])
def test_a_machine_on_which_tasks_of_several_jobs_fail_goes_once_it_is_empty(
    treat_silence_as_fault: bool,
) -> None:
    machine = healthy(failed_jobs={"job-000001", "job-000002"})
    judge = faults(machine)
    assert judge.find_fault(machine, NOW, treat_silence_as_fault) is DeletionReason.FAULTY
    machine.attempts = cast(Any, {("job-000003", 0): None})
    assert judge.find_fault(machine, NOW, treat_silence_as_fault) is None
    one_job = healthy(failed_jobs={"job-000001"})
    assert judge.find_fault(one_job, NOW, treat_silence_as_fault) is None


@pytest.mark.parametrize(
    "lost", [{"confirmed": False}, {"unresponsive_since": NOW}, {"last_own_heartbeat_at": 0.0}]
)
def test_a_controller_is_isolated_if_most_of_its_machines_are_out_of_contact(
    lost: dict[str, Any],
) -> None:
    def fleet(out_of_contact: int, in_contact: int) -> MachineFaults:
        return faults(
            *(healthy(f"lost-{number}", **lost) for number in range(out_of_contact)),
            *(healthy(f"here-{number}") for number in range(in_contact)),
        )

    assert fleet(2, 1).is_controller_isolated()
    assert not fleet(2, 2).is_controller_isolated(), "half of them are not most"
    assert not fleet(ISOLATION_MACHINES_MIN - 1, 0).is_controller_isolated(), "too few to tell"
    unheard = [healthy(f"new-{number}", last_heartbeat_at=None) for number in range(9)]
    assert not faults(*unheard).is_controller_isolated(), "machines that boot are not silent"


def test_the_reasons_read_as_the_log_shows_them() -> None:
    assert f"{DeletionReason.IDLE}" == "idle"
    assert str(DeletionReason.SILENT) == "silent"
