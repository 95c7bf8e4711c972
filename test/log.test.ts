/** Which log lines are written at each level. */
import { test } from 'tap'
import { logFor, writeLogs } from '../src/utils/log.js'

const cases = [
  { level: 'info', written: ['info', 'warn', 'error'] },
  { level: 'warn', written: ['warn', 'error'] },
  { level: 'error', written: ['error'] },
  { level: 'silent', written: [] }
] as const

for (const { level, written } of cases) {
  test(`log: lines at level ${level} and above are written, with their level and context`, async t => {
    const lines: string[] = []
    writeLogs(level, line => { lines.push(line) })
    const log = logFor('entry')
    for (const method of ['info', 'warn', 'error'] as const) log[method](method, { count: 1 })
    writeLogs('silent')
    const parsed = lines.map(line => JSON.parse(line) as { readonly message: string, readonly context: { readonly part: string, readonly count: number, readonly logLevel: number } })
    t.same(parsed.map(({ message }) => message), written.map(method => `entry: ${method}`))
    t.same(parsed.map(({ context }) => context.logLevel), written.map(method => ({ info: 30, warn: 40, error: 50 })[method]))
    t.ok(parsed.every(({ context }) => context.part === 'entry' && context.count === 1))
  })
}
