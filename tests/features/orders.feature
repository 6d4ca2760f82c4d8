Feature: Orders bring engines into the state of the sheet, each once

  Scenario Outline: Two control holders and a pause
    Given a fleet of engines that <check> the fencing number
    When the control holder is paused while the sheet names another version
    Then another host takes over and every engine has just the new version
    When the paused holder goes on
    Then no engine was given an order twice

    Examples:
      | check        |
      | check        |
      | do not check |

  Scenario: The platform is down for a while as the holder is killed
    Given a fleet of engines that do not check the fencing number
    When the control holder is killed during an outage of the platform
    And a sheet with another version is applied after the outage
    Then every engine has just the new version
    And no engine was given an order twice
