"""Scheduling of jobs made of steps: state, planning, orders and calls.

A job is a graph of steps. The tasks of a step are alike and run on workers
under leases. The leader of the agreement group plans and sends the orders.

A life is one incarnation of a worker: the time from the start of its process
to the end of it. A restarted worker has the same id and a new life.
"""

from mangotrail.graphs.state import GraphState, JobState, StepState

__all__ = ('GraphState', 'JobState', 'StepState')
