Feature: Programs and bookings under faults, part 2
  Instances crash before and after each write and send, restart empty and are cut
  off; messages are lost, doubled and late. Every check is made at each step.

  Scenario: Records keep their promises at seeds 220 to 439
    Given fault runs of program records from seed 220 to 440
    Then the fault runs of program records count no broken promise
    And the fault runs of program records met crashes, unknown and true outcomes
