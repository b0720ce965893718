Feature: The logs alone explain what happened to a request

  Scenario: A request refused for a silent rate owner names the change of owner
    Given logs of two entry instances and a leader that changed
    When the request refused with code 1303 is traced
    Then the verdict says "The owner of the customer's rate does not answer"
    And the verdict says "it has not run and never will"
    And the verdict says "front-1 rate owner changed 0.40 s earlier"
    And the lines are in order and name "control role"

  Scenario: A request with an unknown outcome names its endpoint and its time
    Given logs of two entry instances and a leader that changed
    When the request that ended with code 1224 is traced
    Then the verdict says "it may have run"
    And the verdict says "3000 ms, 2990 ms went into waiting for the endpoint's first byte"
    And the verdict says "It was at e-7."
    And the verdict says "front-2 rates asked of 1.00 s earlier"

  Scenario: A program whose turn was lost is traced across instances
    Given logs of two entry instances and a leader that changed
    When the program of the lost turn is traced
    Then the verdict says "code 1214"
    And the lines come from "front-1, front-2"

  Scenario: The phase that took most of a slow program's time is named
    Given logs of two entry instances and a leader that changed
    When the program that was slow is traced
    Then the verdict says "All 2 requests were answered"
    And the verdict says "400 ms went into waiting for the customer's rate"

  Scenario: A stream that was taken up shows the version of each endpoint
    Given logs of two entry instances and a leader that changed
    When the request that began the stream is traced
    Then a line says "r-began on chat at e-1 of version v1"
    And a line says "r-resumed on chat at e-2 of version v2, which took up the stream of r-began after event 3"

  Scenario: A file that is no log and an unknown id are refused
    Then a file without log lines is refused with code 2019
    And an id that no line names is refused with code 2020

  Scenario: A log collector's prefix names the instance, and other lines are skipped
    Given logs whose lines begin with a time and the instance's name
    When the request refused with code 1303 is traced
    Then the lines come from "front-1"
