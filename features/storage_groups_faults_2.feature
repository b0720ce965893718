Feature: Protections of stores in groups, and five stores under faults

  Scenario Outline: In groups, without <protection> some run breaks
    Given stores in groups without <protection>
    When stores run through drawn faults for 300 seeds from 1, until one breaks
    Then some turn was lost or some budget was exceeded

    Examples:
      | protection                   |
      | the search in other groups   |
      | the sync before the answer   |
      | the copies between stores    |

  Scenario: Turns survive drawn faults where not every store is sent their end
    When five stores run through drawn faults for 250 seeds from 1
    Then no turn was lost, no chain was wrong and no budget was exceeded
