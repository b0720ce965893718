Feature: Endpoints are polled for their reports

  Scenario: An endpoint that was slow to report once is asked again soon
    Given an endpoint whose first report comes late
    When it is polled for 1.0 s
    Then its later reports arrive

  Scenario: An endpoint without reports is not asked again soon
    Given an endpoint that has no reports
    When it is polled for 1.0 s
    Then it was asked for a report once
