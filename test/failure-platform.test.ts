import { testScenarios } from '../script/failure/tests.js'

testScenarios([
  { names: ['log-loses-answers', 'service-loses-answers'], seed: 1 },
  { names: ['log-out'], seed: 2 },
  { names: ['chunks-corrupt', 'crash-engine'], seed: 3 },
  { names: ['silence-engine', 'silence-service'], seed: 4 }
])
