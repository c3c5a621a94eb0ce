"""The platform's names of tasks and steps."""

from __future__ import annotations

from rhubarbferry.dispatch.messages import StepId, TaskId


def task_name(id: TaskId) -> str:
    """Return the platform's name of a task."""
    return f"{id.job}.{id.occurrence}.{id.step}.{id.index}"


def step_name(id: StepId) -> str:
    """Return the platform's name of a step."""
    return f"{id.job}.{id.occurrence}.{id.step}"


def parse_task(name: str) -> TaskId:
    """Parse the platform's name of a task.

    :raises ValueError: when ``name`` is not the name of a task.
    """
    job, occurrence, step, index = name.split(".")
    return TaskId(job=job, occurrence=int(occurrence), step=int(step), index=int(index))
