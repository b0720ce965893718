Feature: What a start costs
  A large deployment starts some eighty processes at once, and many again when machines
  fail. What each start costs counts against the time that callers wait.

  # Guards against days given up for processor time: a third of each start went to
  # generating the code of some 200 data classes.
  Scenario Outline: Starting <role> generates the code of few data classes
    When the modules of <role> are imported by a new process
    Then the code of at most 3 data classes of the project is generated

    Examples:
      | role        |
      | an entry |
      | a store     |
      | a control   |
