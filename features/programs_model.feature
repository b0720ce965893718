Feature: Decisions on programs agree with a plain model
  Hypothesis draws calls in any order, including duplicated and delayed ones.

  Scenario: A program's order, history and budget agree with the model
    Then 200 runs of 40 calls on a program agree with its model
