Feature: Without one of its protections the control state fails its checks
  This shows that the fault runs detect the failure that each protection prevents.

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
      | stored outcome       |
      | new identity         |
      | copied audit records |
