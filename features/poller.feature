Feature: Endpoints are polled for their reports

  Scenario: An endpoint that was slow to report once is asked again soon
    Given an endpoint whose first report comes late
    When it is polled for 1.0 s
    Then its later reports arrive

  Scenario: An endpoint without reports is not asked again soon
    Given an endpoint that has no reports
    When it is polled for 1.0 s
    Then it was asked for a report once

  Scenario Outline: A report that can't be read ends nothing and is not used
    # RecursionError left the poller, and ended the process.
    Given an endpoint whose reports are <fault>
    When it is polled for 0.3 s
    Then it is asked again, and no report arrives

    Examples:
      | fault            |
      | nested 5000 deep |
      | beyond 64 bits   |
      | negative         |
      | half a character |
