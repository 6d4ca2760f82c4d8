Feature: A leaving or recalled server gets no new work and stays withdrawn

  Scenario: A server is recalled while one host is cut off from the platform
    Given a fleet whose hosts reach the platform through fault proxies
    When one host is cut off from the platform and engine "e2" is recalled
    Then no host sends new work to "e2" from 3 seconds on

  Scenario: A recall is given while the platform is down and a host restarts
    Given a fleet of two data centres with three hosts
    When the platform is down and engine "e2" is recalled at one host
    And another host is killed and replaced
    Then no host sends new work to "e2" from 3 seconds on
    And the recall is stored when the platform is back

  Scenario: A later sheet that names the engine's model does not bring it back
    Given a fleet of two data centres with three hosts
    When engine "e2" is recalled
    And an older sheet is applied again
    Then no host sends new work to "e2" from 3 seconds on

  Scenario: An engine of a recalled version that joins later gets no work
    Given a fleet of two data centres with three hosts
    When the model version "lm@9" is recalled
    And an engine "e9" with "lm@9" joins that follows no order
    Then no host sends new work to "e9" from 3 seconds on

  Scenario: An engine of a recalled version serves after it has unloaded it
    Given a fleet of two data centres with three hosts
    When the model version "lm@9" is recalled
    And an engine "e9" with "lm@9" joins
    Then engine "e9" gets work again
    And engine "e9" never got work while it had "lm@9"

  Scenario: A recall reaches a host that was paused
    Given a fleet of two data centres with three hosts
    When a host is paused while engine "e2" is recalled and goes on
    Then no host sends new work to "e2" from 3 seconds on

  Scenario: An engine that says it leaves finishes its streams
    Given a fleet of two data centres with three hosts
    When engine "e2" says that it leaves while it streams
    Then the caller sees the whole answer without gap or repeat
    And no host sends new work to "e2" from 3 seconds on

  Scenario: A lifted recall lets the engine serve again
    Given a fleet of two data centres with three hosts
    When engine "e2" is recalled
    And the recall is lifted
    Then engine "e2" gets work again
