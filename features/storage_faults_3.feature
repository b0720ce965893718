Feature: Stores under faults, seeds from 501
  Stores crash, lose power or disks and are cut off, one at a time, or all lose power at
  once. Every turn that was answered whole is retained, and budgets hold.

  Scenario: Turns that were answered whole survive faults drawn from seeds 501 to 750
    When stores run through drawn faults for 250 seeds from 501
    Then no turn was lost, no chain was wrong and no budget was exceeded
