Feature: An error costs what raised it, and not the process
  Each state machine, each action and each background task fails on its own. Only where
  going on would break a promise does the process end, in a way that a page names.

  Scenario: A machine whose tick raises keeps its neighbours ticking
    Given a host of three machines, of which the second raises at each tick
    When the host runs for 0.3 s
    Then the first and the third machine got at least 3 ticks
    And the host counts the errors

  Scenario: An action that raises does not keep back the actions after it
    Given a host of a machine whose first of two actions raises
    When an event is delivered to it as a message
    Then its second action was performed
    And the host counts 1 error

  Scenario: A message of an instance to itself that raises does not stop its sender
    Given a host of a machine that sends to a machine of the same instance that raises
    When an event is delivered to it as a message
    Then its second action was performed
    And the host counts 1 error

  Scenario: A published event reaches the machines after one that raises
    Given a host of three machines, of which the second raises at each tick
    When an event is published to all
    Then the first and the third machine got the event

  Scenario: A caller of a machine that raises learns of it
    Given a host of a machine whose first of two actions raises
    When an event is applied to it directly
    Then the error is raised to the caller
    And its second action was performed

  Scenario: A machine whose promises an error breaks gets nothing more, and ends the process
    Given a host of a machine that raises and ends the process by that
    When a message is delivered to it twice, and the host runs for 0.3 s
    Then the machine got one message
    And the host ends with the error that names the machine
