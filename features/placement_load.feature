Feature: The load that endpoints report
  A header that can't be read must not fail its request, nor hide an endpoint's load.

  Scenario Outline: A load header with <case> is read as <meaning>
    Then a load header "<header>" means <meaning>

    Examples:
      | case              | header              | meaning            |
      | three figures     | 3,1,8               | 3 + 1 of 8, 1.0    |
      | four figures      | 3, 1, 8, 250        | 3 + 1 of 8, 2.5    |
      | a decimal pace    | 0,0,6,87.5          | 0 + 0 of 6, 0.875  |
      | too few figures   | 3,1                 | nothing            |
      | too many figures  | 3,1,8,100,5         | nothing            |
      | a negative figure | -1,0,8              | nothing            |
      | a huge figure     | 3,1,8,99999999      | nothing            |
      | a pace of zero    | 3,1,8,0             | nothing            |
      | a pace that isn't | 3,1,8,nan           | nothing            |
      | a broken figure   | 3,1,                | nothing            |
      | no slots          | 0,0,0,100           | nothing            |

  Scenario: Unreadable load headers are counted, and logged once an endpoint
    When 3 answers of "e1" and 2 of "e2" have unreadable load headers
    Then 5 are counted and 2 lines are logged
