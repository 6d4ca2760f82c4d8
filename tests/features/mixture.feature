Feature: Faults come together or twice

  Scenario Outline: Pairs and triples of faults under load
    When 3 rounds of faults drawn from seed <seed> come to a fleet under load
    Then all that must always hold has held

    Examples:
      | seed |
      | 1    |
      | 2    |
