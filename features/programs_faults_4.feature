Feature: Program records under faults, part 4
  Instances crash before and after each write and send, restart without records and
  are isolated; messages are lost, duplicated and delayed. Invariants are checked at
  each step.

  Scenario: Records keep their invariants at seeds 660 to 879
    Given fault runs of program records from seed 660 to 880
    Then the fault runs of program records violate no invariant
    And the fault runs of program records include crashes, bookings, unknown outcomes and refusals
