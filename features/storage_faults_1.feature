Feature: Stores under faults, seeds from 1
  However stores crash, lose power or disks and are cut off, one at a time or all at
  once with their disks, what was answered whole is kept and budgets hold.

  Scenario: What was answered whole outlives faults drawn from seeds 1 to 250
    When stores run through drawn faults for 250 seeds from 1
    Then no turn was lost or mixed and no budget was exceeded
