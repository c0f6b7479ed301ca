"""Bodies of requests as callers send them, written from the platform's documentation."""

from typing import Any

from sablemount.jobs.model import JobSpec, StepSpec

__all__ = ["job_body"]


def job_body(spec: JobSpec) -> dict[str, Any]:
    """Return the body that submits a job; what is 0, false or empty is left out."""
    fields = {
        "spec": spec.payload,
        "steps": [_step_body(step) for step in spec.steps],
        "maxRuns": spec.times,
        "startAtMs": int(spec.first_due_ms),
        "intervalMs": int(spec.interval_ms),
    }
    return {name: value for name, value in fields.items() if value}


def _step_body(step: StepSpec) -> dict[str, Any]:
    fields = {
        "count": step.count,
        "cpu": step.shape.cores,
        "memMb": step.shape.memory,
        "gpu": step.shape.accelerators,
        "estMs": int(step.expected_ms),
        "dependsOn": list(step.after),
        "checkpoint": step.saves,
        "gang": step.gang,
        "constraints": step.label,
        "antiAffinity": step.spread,
    }
    return {name: value for name, value in fields.items() if value}
