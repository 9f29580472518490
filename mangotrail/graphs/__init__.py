"""Jobs made of steps: state, decisions, orders to workers and calls.

A job is a graph of steps; a step has equal tasks, which run on workers under
leases. The leader of the agreement group decides and gives the orders.
"""

from mangotrail.graphs.state import GraphState, JobState, StepState

__all__ = ('GraphState', 'JobState', 'StepState')
