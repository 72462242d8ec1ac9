Feature: The soak keeps the promises on fixed seeds, and its checks notice broken ones

  Scenario Outline: A seed of the soak keeps the promises
    Then the soak keeps all promises on seed <seed>

    Examples:
      | seed |
      | 11   |
      | 22   |

  Scenario Outline: The checks notice <fault>
    Then the checks of the soak report "<fault>" and nothing else

    Examples:
      | fault                       |
      | ran 2 times                 |
      | said not to have run        |
      | wrong answer                |
      | answered without a run      |
      | answered after              |
      | two holders                 |
      | token of                    |
      | got 18 requests             |
      | reached a leaving target    |
