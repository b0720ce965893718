Feature: Program records under faults, part 3
  Instances crash before and after each write and send, restart without records and
  are isolated; messages are lost, duplicated and delayed. Invariants are checked at
  each step.

  Scenario: Records keep their invariants at seeds 440 to 659
    Given fault runs of program records from seed 440 to 660
    Then the fault runs of program records violate no invariant
    And the fault runs of program records include crashes, bookings, unknown outcomes and refusals
