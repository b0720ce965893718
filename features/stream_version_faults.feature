Feature: No stream goes on at another version while instances miss lists
  Versions join and leave, lists and answers arrive late or not at all, entry instances are
  cut off, and leaders change. Callers name no beginning of their streams.

  Scenario: No stream goes on at another version in drawn days
    When streams break off and are taken up elsewhere on the days of seeds 0 to 39
    Then none of them goes on at another version than its own

  Scenario: The leader's confirmation is what keeps streams at their versions
    When streams break off and are taken up elsewhere on the days of seeds 0 to 9
    And the same is done on the days of seeds 0 to 9 by the instances' own lists
    Then only by their own lists some go on at another version than their own
    And with the confirmation at least 0.6 times as many go on

  Scenario Outline: A leader answers only for a term that a majority has just confirmed
    Given a leader of term 1 that has listed "v1" since 0 s
    When it is asked at 20 s, and then <event>
    Then it answers <answer>

    Examples:
      | event                                   | answer        |
      | a majority confirms it                  | v1 since 20 s |
      | a majority does not confirm it          | nothing       |
      | another one leads before it is confirmed | nothing      |
      | v2 is listed before it is confirmed     | several       |

  Scenario: An answer is used only for the request that asked
    Given an instance that asks the leader for two requests
    When the leader answers the first of them
    Then the second one still waits, and is asked again after 0.2 s
