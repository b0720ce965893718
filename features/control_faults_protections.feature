Feature: Without one of its protections the control state fails its checks
  A check that can't fail shows nothing.

  Scenario Outline: Without <protection> a run fails
    Given control protection "<protection>" is off
    Then a control run of 100 seeds fails

    Examples:
      | protection           |
      | sync                 |
      | answer after sync    |
      | log comparison       |
      | majority             |
      | read round           |
      | remembered outcome   |
      | new identity         |
      | copied audit records |
