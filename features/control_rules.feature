Feature: Rules of consensus, each tested with a prepared sequence of messages
  Random runs reach these cases too seldom. Each is checked with and without the rule.

  Scenario Outline: <rule>
    When a control replica is brought to where the rule "<rule>" matters
    Then the control rule holds
    And the same check fails without the control rule "<rule>"

    Examples:
      | rule                                                |
      | a vote survives a restart                           |
      | entries of earlier terms do not commit alone        |
      | entries after a snapshot are retained               |
      | no vote while a leader is active                    |
      | no wait if every voter has just started             |
      | no vote for an outdated start id                    |
      | a newly started replica does not count itself       |
      | a request to join is passed on to the leader once   |
      | a voter that was removed while cut off asks to join |
      | all that ask to join at once are taken in           |

  Scenario Outline: A majority of the voters remains after the tolerated losses
    Given a fleet of 3 seeds that tolerates <losses> losses
    Then it has at most <voters> voters

    Examples:
      | losses | voters |
      | 0      | 3      |
      | 1      | 3      |
      | 2      | 5      |
