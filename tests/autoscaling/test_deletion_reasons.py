"""Faults of machines, and when a controller must ignore their silence because it is isolated."""

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
SUSPECT_TIMEOUT_S = 3.0
FAULT_TIMEOUT_S = 3 * LEASE_S


def machine_faults(*machines: Machine) -> MachineFaults:
    """The fault detection of a leader that has these machines registered."""
    workers = SimpleNamespace(lease_s=LEASE_S, suspect_after_s=SUSPECT_TIMEOUT_S)
    params = SimpleNamespace(workers=workers, cloud=SimpleNamespace(list_lag_s=4.0))
    registry = SimpleNamespace(
        machines={machine.id: machine for machine in machines},
        is_suspect=lambda machine: machine.is_overdue(NOW, SUSPECT_TIMEOUT_S),
    )
    leader = SimpleNamespace(
        controller=SimpleNamespace(params=params),
        policy=Policy(silent_leases=FAULT_TIMEOUT_S / LEASE_S, boot_patience=3.0),
        registry=registry,
    )
    return MachineFaults(cast(Any, leader), MachineTypeLookup(dict))


def healthy(name: str = "m-000001", **changes: Any) -> Machine:
    """A machine that sends heartbeats and accepts their responses, except for the changes."""
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


def booting(provisioned_s_ago: float, **changes: Any) -> Machine:
    """A machine of unknown type (default boot time 60 s) that has not sent a heartbeat."""
    ready_at = NOW - provisioned_s_ago + 60.0
    return healthy(last_heartbeat_at=None, expected_ready_at=ready_at, confirmed=False, **changes)


@pytest.mark.parametrize(
    ("machine", "reason"),
    [
        (healthy(), None),
        (healthy(last_heartbeat_at=NOW - FAULT_TIMEOUT_S), None),
        (healthy(last_heartbeat_at=NOW - FAULT_TIMEOUT_S - 1.0), DeletionReason.SILENT),
        (healthy(unresponsive_since=NOW - FAULT_TIMEOUT_S), None),
        (healthy(unresponsive_since=NOW - FAULT_TIMEOUT_S - 1.0), DeletionReason.UNRESPONSIVE),
        (
            healthy(fencing_token_seen_at=NOW - FAULT_TIMEOUT_S - 1.0),
            DeletionReason.FENCING_TOKEN_NOT_SEEN,
        ),
        (booting(180.0), None),
        (booting(181.0), DeletionReason.BOOT_OVERDUE),
        (booting(181.0, first_seen_at=NOW - SUSPECT_TIMEOUT_S - 8.0), None),
        (booting(181.0, listed_stage=ListedMachineStage.RUNNING), DeletionReason.SILENT),
        (
            booting(
                181.0,
                listed_stage=ListedMachineStage.RUNNING,
                listed_running_since=NOW - FAULT_TIMEOUT_S,
            ),
            None,
        ),
    ],
)
def test_loss_of_contact_is_a_fault_only_if_silence_is_treated_as_one(
    machine: Machine, reason: DeletionReason | None
) -> None:
    faults = machine_faults(machine)
    assert faults.find_fault(machine, NOW, treat_silence_as_fault=True) is reason
    assert faults.find_fault(machine, NOW, treat_silence_as_fault=False) is None


@pytest.mark.parametrize("treat_silence_as_fault", [True, False])
def test_a_machine_on_which_tasks_of_several_jobs_fail_is_faulty_once_it_is_empty(
    treat_silence_as_fault: bool,
) -> None:
    machine = healthy(failed_jobs={"job-000001", "job-000002"})
    faults = machine_faults(machine)
    assert faults.find_fault(machine, NOW, treat_silence_as_fault) is DeletionReason.FAULTY
    machine.attempts = cast(Any, {("job-000003", 0): None})
    assert faults.find_fault(machine, NOW, treat_silence_as_fault) is None
    one_job = healthy(failed_jobs={"job-000001"})
    assert faults.find_fault(one_job, NOW, treat_silence_as_fault) is None


@pytest.mark.parametrize(
    "lost_contact",
    [{"confirmed": False}, {"unresponsive_since": NOW}, {"last_own_heartbeat_at": 0.0}],
)
def test_a_controller_is_isolated_if_most_of_its_machines_are_out_of_contact(
    lost_contact: dict[str, Any],
) -> None:
    def fleet(out_of_contact: int, in_contact: int) -> MachineFaults:
        return machine_faults(
            *(healthy(f"lost-{number}", **lost_contact) for number in range(out_of_contact)),
            *(healthy(f"here-{number}") for number in range(in_contact)),
        )

    assert fleet(2, 1).is_controller_isolated()
    assert not fleet(2, 2).is_controller_isolated(), "half of the machines are not a majority"
    assert not fleet(ISOLATION_MACHINES_MIN - 1, 0).is_controller_isolated(), (
        "too few machines to decide"
    )
    booting_machines = [healthy(f"new-{number}", last_heartbeat_at=None) for number in range(9)]
    assert not machine_faults(*booting_machines).is_controller_isolated(), (
        "booting machines do not count as silent"
    )


def test_reasons_are_formatted_as_their_values() -> None:
    assert f"{DeletionReason.IDLE}" == "idle"
    assert str(DeletionReason.SILENT) == "silent"
