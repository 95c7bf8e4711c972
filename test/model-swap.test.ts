import { test } from 'tap'
import { explore } from '../model/explore.js'
import { exploreProgress } from '../model/progress.js'
import { checkThenActSpecification, isSwapDone, swapSpecification } from '../model/swap.js'

const limit = 2_000_000
const walks = [
  { name: 'two instances, one away, a crash, out of turn', bounds: { instances: 2, allowed: 1, crashes: 1, overdue: true } },
  { name: 'three instances, one away, in turn, a crash', bounds: { instances: 3, allowed: 1, crashes: 1, overdue: false } },
  { name: 'three instances, one away, out of turn', bounds: { instances: 3, allowed: 1, crashes: 0, overdue: true } },
  { name: 'three instances, two away, out of turn', bounds: { instances: 3, allowed: 2, crashes: 0, overdue: true } }
] as const

for (const { name, bounds } of walks) {
  test(`no more instances are away than allowed: ${name}`, async t => {
    const found = explore(swapSpecification(bounds), limit)
    t.comment(`${found.states} states; bounds ${JSON.stringify(bounds)}`)
    t.equal(found.violation, undefined, found.trace.join(', '))
    const progress = exploreProgress(swapSpecification(bounds), isSwapDone, limit)
    t.equal(progress.stuck, 0, 'from every state all can still change')
  })
}

test('the naive check-then-act sends too many away', async t => {
  const found = explore(checkThenActSpecification({ instances: 2, allowed: 1, crashes: 0, overdue: true }), limit)
  t.equal(found.violation, 'more instances are away than allowed')
  t.comment(`trace: ${found.trace.join(', ')}`)
})
