Feature: Programs and bookings under faults, part 3
  Instances crash before and after each write and send, restart empty and are cut
  off; messages are lost, doubled and late. Every check is made at each step.

  Scenario: Records keep their promises at seeds 440 to 659
    Given fault runs of program records from seed 440 to 660
    Then the fault runs of program records count no broken promise
    And the fault runs of program records met crashes, unknown and true outcomes
