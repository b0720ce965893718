Feature: Callers beyond their rate come back one after another
  Each may come only a few times, so that those who come at once are lost.

  Scenario: Fewer programs are lost where each caller has its own time to come back
    Given programs of 6 requests whose customer asks for 1.5 times its rate for 6 s
    When 40 seeds are played with times of their own, and with the same time for all
    Then less than 1 in 100 are lost with times of their own
    And more than twice as many would be lost with the same time for all

  Scenario: The times keep to the rate and to their bounds
    Given a customer of 18 requests a second that 9 instances refuse
    Then refused callers are told to come back after 100, 600, 1100 and 1200 ms
    And one that is refused 5 s later is told 100 ms
