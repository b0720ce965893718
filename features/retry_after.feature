Feature: Callers above their rate get spread times to retry after
  Each caller retries only a few times, so callers that retry together are lost.

  Scenario: Fewer programs are lost with spread retry times
    Given programs of 6 requests whose customer asks for 1.5 times its rate for 6 s
    When 40 seeds are simulated with spread retry times, and with the same for all
    Then less than 1 in 100 are lost with spread retry times
    And more than twice as many are lost with the same for all

  Scenario: Retry times follow the rate and stay within their bounds
    Given a customer of 18 requests a second that 9 instances refuse
    Then refused callers get retry times of 100, 600, 1100 and 1200 ms
    And a caller that is refused 5 s later gets 100 ms
