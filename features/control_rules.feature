Feature: Rules of consensus, each brought about on purpose
  What random runs reach too seldom is checked step by step, with and without the rule.

  Scenario Outline: <rule>
    When a control replica is led to break the rule "<rule>"
    Then the control rule holds
    And without the control rule "<rule>" it would not hold

    Examples:
      | rule                                   |
      | a vote is kept over a restart          |
      | entries of earlier terms do not count  |
      | entries behind a snapshot are kept     |
      | no vote while a leader is heard        |
      | no wait where every voter starts anew  |
      | no vote by a word from before a start  |
      | a new start does not support itself    |
