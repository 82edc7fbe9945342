"""Calls that the recovery stage of a fleet withholds right before their first byte.

A withheld call has not reached its destination, so it must not use up the attempts of its message.
"""

from socket_faults import until
from test_late_iterations import Scenario, run_scenario

from message_sender.core.hooks import EngineHooks

LOOP_ITERATIONS = 500  # several for each attempt that a message may have


class WithholdingStage(EngineHooks):
    """A recovery stage that permits no call until it is opened; counts the calls that it withheld."""

    def __init__(self) -> None:
        self.is_open = False
        self.withheld = 0

    def may_call(self, endpoint: str) -> bool:
        self.withheld += not self.is_open
        return self.is_open


@run_scenario()
async def test_withheld_calls_do_not_use_up_the_attempts_of_a_message(scenario: Scenario) -> None:
    """Otherwise the message is refused although its destination was not called and its deadline is far."""
    request = await scenario.start()
    request.answer(200)
    stage = WithholdingStage()
    scenario.engine.hooks.add(stage)
    caller = scenario.submit("n")
    await until(lambda: stage.withheld > 0)
    await scenario.run_iterations(LOOP_ITERATIONS)
    assert [each.state.value for each in caller.completions] == []
