Feature: Program records under faults, part 2
  Instances crash before and after each write and send, restart without records and
  are isolated; messages are lost, duplicated and delayed. Invariants are checked at
  each step.

  Scenario: Records keep their invariants at seeds 220 to 439
    Given fault runs of program records from seed 220 to 440
    Then the fault runs of program records violate no invariant
    And the fault runs of program records include crashes, bookings, unknown outcomes and refusals
