Feature: Stores in groups under faults
  Stores of two groups crash, lose power or disks and are cut off, one at a time, or all
  lose power at once.

  Scenario: Turns in groups survive drawn faults
    When stores in groups run through drawn faults for 400 seeds from 1
    Then no turn was lost, no chain was wrong and no budget was exceeded
