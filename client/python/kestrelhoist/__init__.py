"""Client of kestrelhoist: submit, watch, cancel and query jobs (docs/client.md).

    with kestrelhoist.Client(["10.0.0.1:8080"], key="kh_...") as client:
        job = client.submit(kestrelhoist.Job(tasks=40), idempotency_key="drawer-12")
        print(client.wait(job.id, timeout=3600).phase)
"""

from ._client import (
    Cancelled,
    Client,
    Conflict,
    DeadlinePassed,
    Error,
    Events,
    Identity,
    Job,
    JobEvent,
    JobPage,
    JobState,
    Malformed,
    NeverRuns,
    NotPermitted,
    OutcomeUnknown,
    ProtocolViolated,
    Throttled,
    Unavailable,
    Unknown,
    Unusable,
)

__all__ = [
    "Cancelled",
    "Client",
    "Conflict",
    "DeadlinePassed",
    "Error",
    "Events",
    "Identity",
    "Job",
    "JobEvent",
    "JobPage",
    "JobState",
    "Malformed",
    "NeverRuns",
    "NotPermitted",
    "OutcomeUnknown",
    "ProtocolViolated",
    "Throttled",
    "Unavailable",
    "Unknown",
    "Unusable",
]
