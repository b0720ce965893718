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

  Scenario: A background task that raises is started again, with growing pauses
    Given a supervised task that raises at its first 4 starts
    When it is run for 2 s
    Then it was started 5 times, and the pauses grew
    And the failures count 4 errors

  Scenario: A task whose error has to end the process ends it at once
    Given a supervised task that raises a StorageError
    When it is run for 0.3 s
    Then it was started 1 times
    And the StorageError came out of it

  Scenario: An error that has to end the process does so from within a group
    Given a supervised task that raises a StorageError within a task group
    When it is run for 0.3 s
    Then it was started 1 times
    And the StorageError came out of it

  Scenario: A supervised task can be cancelled in its pause and in its work
    Given a supervised task that raises at its first 1 starts
    When it is run for 0.3 s
    Then it was cancelled in its work

  Scenario: An address that is taken at the start ends the process
    Given a supervised server whose address is taken
    When it is run for 0.5 s
    Then AddressUnavailable came out of it

  Scenario: An address that is taken when a server starts again is waited for
    Given a supervised server that fails once, and whose address is then taken for 0.3 s
    When it is run for 1.5 s
    Then it answers

  Scenario: One job that raises does not end those beside it
    Given 3 jobs of a part, of which the second raises
    When the part runs for 0.2 s
    Then the jobs "1 3" have ended
    And the failures count 1 errors

  Scenario: One step of a task that raises does not keep back those after it
    When 3 steps are attempted, of which the second raises
    Then the steps "1 3" were made
    And the failures count 1 errors

  Scenario: A version that can't be put in force at first is tried again
    Given an instance where putting a version in force raises 3 times
    When the version is delivered and it runs for 1 s
    Then the version is in force
    And the failures count 3 errors

  Scenario: A version that was delivered but never passed on is put in force
    Given an instance where putting a version in force raises 0 times
    When the version is delivered to the replica only, and it runs for 0.5 s
    Then the version is in force
