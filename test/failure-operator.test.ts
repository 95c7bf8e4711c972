import { testScenarios } from '../script/failure/scenario-tests.js'

testScenarios([
  { names: ['zone-move'], seed: 1 },
  { names: ['isolated-zone-out'], seed: 2 },
  { names: ['operators-race', 'leaving'], seed: 3 },
  { names: ['crashing-request'], seed: 4 },
  { names: ['crashing-sign-off', 'version-change'], seed: 5 }
])
