import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'tap'
import { appendChange, appendRebased } from '../src/commands/append-change.js'
import { askAnswers } from '../src/commands/questionnaire.js'
import { checkAnswers } from '../src/core/configuration/check-answers.js'
import { readState } from '../src/queries/read-state.js'
import { LogStandIn } from '../stand-in/log.js'
import type { Change } from '../src/types/configuration.js'
import { runProgram } from '../script/launch.js'
import { changeBody, configuration, moveBody } from './fakes/followers.js'
import { FakeLog } from './fakes/log.js'

const folder = mkdtempSync(join(tmpdir(), 'pollendyke-test-'))
process.once('exit', () => { rmSync(folder, { recursive: true, force: true }) })

function writeTestFile (name: string, content: unknown): string {
  const file = join(folder, name)
  writeFileSync(file, typeof content === 'string' ? content : JSON.stringify(content))
  return file
}

const validAnswers = JSON.parse(readFileSync('answers/khakhi-patrak.json', 'utf8')) as Record<string, unknown>
const invalidAnswers = {
  ...validAnswers,
  weighting: 'speed',
  logDataCentre: 'surat',
  dataCentres: [{ name: 'Ahmedabad', region: 'west' }, { name: 'rajkot', region: 'west' }],
  services: [{ name: 'ledger', kind: 'plain', nonIdempotent: [], bearsCold: 9, bearsWarm: 2, firstByteMilliseconds: 300 }, { name: 'portal', kind: 'plain', nonIdempotent: [], bearsCold: 0, bearsWarm: 2, firstByteMilliseconds: 300 }]
}
/** No service listens on this port. */
const closedPortUrl = 'http://127.0.0.1:9'

const runCases = [
  { name: 'five invalid answers give five findings', argv: ['validate', writeTestFile('faulty.json', invalidAnswers)], code: 2, errors: [/weighting: /, /logDataCentre: /, /dataCentres\[0\]\.name: /, /services\[0\]\.bearsCold: /, /services\[1\]\.bearsCold: /] },
  { name: 'valid answers give no findings', argv: ['questionnaire', '--answers', 'answers/lakeshore.json', '--json'], code: 0, errors: [] },
  { name: 'a syntax error is reported with line and column', argv: ['apply', writeTestFile('broken.json', '{\n  "kind": x\n}'), '--log', closedPortUrl], code: 2, errors: [/broken\.json:2:11: is not JSON/] },
  { name: 'a truncated file is reported with the position of its end', argv: ['validate', writeTestFile('cut.json', '{\n  "kind":')], code: 2, errors: [/cut\.json:2:10: is not JSON/] },
  { name: 'a missing file is reported by name', argv: ['plan', join(folder, 'none.json'), '--log', closedPortUrl], code: 2, errors: [/none\.json: cannot be read/] },
  { name: 'an unknown flag is reported by name', argv: ['history', '--logg', closedPortUrl], code: 2, errors: [/--logg/] },
  { name: 'an unknown command is reported by name', argv: ['explode'], code: 2, errors: [/"explode" is no command/] },
  { name: 'an invalid URL is reported with its flag and variable', argv: ['history', '--log', 'log.example:80'], code: 2, errors: [/--log \(POLLENDYKE_LOG\): must be http:\/\/IP:PORT/] },
  { name: 'a missing setting is reported with its variables', argv: ['status'], code: 2, errors: [/POLLENDYKE_INSTANCES.*POLLENDYKE_ENTRY/] },
  { name: 'an unreachable log is reported with its URL', argv: ['zone', 'out', 'rajkot', '--log', closedPortUrl], code: 3, errors: [/the log at http:\/\/127\.0\.0\.1:9 cannot be read/] },
  { name: 'an invalid zone direction is reported', argv: ['zone', 'sideways', 'rajkot', '--log', closedPortUrl], code: 2, errors: [/direction must be in or out/] },
  { name: 'all missing flags of an intent are reported together', argv: ['intent', 'first', '--log', closedPortUrl], code: 2, errors: [/--manifest: is needed/, /--service: is needed/] }
] as const

for (const { name, argv, code, errors } of runCases) {
  test(`the command line: ${name}`, async t => {
    const run = await runProgram('pollendyke', argv)
    t.equal(run.code, code, run.errors)
    const lines = run.errors.split('\n').filter(line => line !== '')
    t.equal(lines.length, errors.length, run.errors)
    for (const error of errors) t.match(run.errors, error)
  })
}

test('an operator plans and applies a configuration, takes a zone out, adds and withdraws an intent and reads the history', async t => {
  const log = new LogStandIn()
  const { server, port } = await log.listen('127.0.0.1:0')
  t.teardown(() => { server.closeAllConnections(); server.close() })
  const environment = { POLLENDYKE_LOG: `http://127.0.0.1:${port}` }
  const run = async (...argv: readonly string[]): ReturnType<typeof runProgram> => await runProgram('pollendyke', argv, environment)
  const generated = await run('generate', 'answers/khakhi-patrak.json')
  const file = writeTestFile('configuration.json', generated.output)
  t.match((await run('plan', file)).output, /\+ services\.citations/)
  t.match((await run('apply', file)).output, /accepted at offset 0/)
  t.match((await run('plan', file)).output, /nothing would change/)
  const moved = await run('zone', 'out', 'rajkot', '--json')
  t.match(JSON.parse(moved.output), { tag: 'accepted', offset: 1, rebased: false })
  const manifest = writeTestFile('manifest.json', { model: 'badge', adapter: null, version: '1.0', chunkBytes: 1, totalBytes: 1, chunks: ['a'.repeat(64)] })
  t.equal((await run('intent', 'first', '--service', 'citations', '--manifest', manifest)).code, 0)
  t.match(await run('intent', 'second', '--service', 'ledger', '--manifest', manifest), { code: 2, errors: /plain service/ })
  t.match(await run('zone', 'out', 'surat'), { code: 2, errors: /no such data centre/ })
  t.equal((await run('withdraw', 'first')).code, 0)
  const history = JSON.parse((await run('history', '--json')).output) as Array<{ what: string, result: string }>
  t.same(history.map(({ what, result }) => `${what} ${result}`), ['replace * accepted', 'data-centre/rajkot out accepted', 'intent intent/first accepted', 'withdraw intent/first accepted'])
})

const takeRajkotOut: Change = { kind: 'data-centre', dataCentre: 'rajkot', state: 'out' }
const raceCases = [
  { name: 'another operator moved the same zone first', rival: moveBody('rajkot', 'out', 0), result: { tag: 'refused', reason: 'stale' } },
  { name: 'another operator moved another zone first', rival: moveBody('vadodara', 'out', 0), result: { tag: 'accepted', rebased: false } },
  { name: 'the configuration was replaced and the zone is the same', rival: changeBody({ kind: 'replace', configuration }, 0), result: { tag: 'accepted', rebased: true } },
  { name: 'the configuration was replaced and the zone differs', rival: changeBody({ kind: 'replace', configuration: { ...configuration, dataCentres: { ...configuration.dataCentres, rajkot: { region: 'moved', state: 'in' } } } }, 0), result: { tag: 'refused', reason: 'stale' } }
] as const

for (const { name, rival, result } of raceCases) {
  test(`taking a zone out when ${name}`, async t => {
    const log = new FakeLog()
    log.append(changeBody({ kind: 'replace', configuration }, -1))
    const client = log.clientOf('operator')
    const seen = await readState(client)
    log.append(rival)
    t.match(await appendRebased(client, seen, takeRajkotOut, 'test', Date.now() + 60_000), result)
  })
}

test('an append whose answer is lost is found by its id and not repeated', async t => {
  const log = new FakeLog()
  log.append(changeBody({ kind: 'replace', configuration }, -1))
  log.appendAnswersToDrop = 1
  const client = log.clientOf('operator')
  t.match(await appendChange(client, await readState(client), takeRajkotOut, 'test', Date.now() + 60_000), { tag: 'accepted', offset: 1 })
  t.equal(log.next, 2)
})

test('an append during an outage of the log has an unknown outcome and is not repeated', async t => {
  const log = new FakeLog()
  log.append(changeBody({ kind: 'replace', configuration }, -1))
  const client = log.clientOf('operator')
  const seen = await readState(client)
  log.isUnavailable = true
  t.match(await appendChange(client, seen, takeRajkotOut, 'test', Date.now() + 500), { tag: 'unknown' })
  t.equal(log.next, 1)
})

test('the questionnaire repeats a question after an invalid answer and returns valid answers', async t => {
  const replies = ['Lake Shore', 'lakeshore', 'service', 'ontario', 'north', 'no', 'ontario', 'refuse', 'flocks', 'tiny', 'large', 'no', 'booking', 'plain', 'book, Bad', 'book,send', '0', '2', '8', '300', 'no']
  const messages: string[] = []
  const answers = await askAnswers(async () => replies.shift() ?? '', text => { messages.push(text) })
  t.equal(replies.length, 0)
  t.equal(messages.filter(text => text.includes('please answer')).length, 4)
  t.same(checkAnswers(answers), answers)
})
