import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'tap'
import { freshAddress, runProgram, startDaemon } from '../script/launch.js'
import { InstancesStandIn } from '../stand-in/instances.js'
import { LogStandIn } from '../stand-in/log.js'
import { ServiceStandIn } from '../stand-in/service.js'
import type { ListedInstance } from '../src/types/platform.js'
import { configuration, until } from './fakes/followers.js'

const folder = mkdtempSync(join(tmpdir(), 'pollendyke-test-'))
process.once('exit', () => { rmSync(folder, { recursive: true, force: true }) })

test('an operator sees on which nodes a change is in force, which nodes do not answer, and how a request ended', async t => {
  const [log, list, service] = [new LogStandIn(), new InstancesStandIn(0), new ServiceStandIn()]
  const served = await Promise.all([log, list, service].map(async standIn => await standIn.listen('127.0.0.1:0')))
  const [logUrl = '', instances = '', upstream = ''] = served.map(({ port }) => `http://127.0.0.1:${port}`)
  const listedInstance = (instance: string, role: 'entry' | 'upstream', dataCentre: string): ListedInstance => ({ instance, role, service: role === 'entry' ? '' : 'ledger', dataCentre, region: 'west', state: 'live', address: freshAddress(), controlAddress: freshAddress() })
  const entry = listedInstance('entry-a', 'entry', 'ahmedabad')
  const agent = listedInstance('ledger-a', 'upstream', 'ahmedabad')
  const unresponsive = listedInstance('ledger-b', 'upstream', 'rajkot')
  const flags = ({ instance, dataCentre, region, address, controlAddress }: ListedInstance): Readonly<Record<string, string>> => ({ instance, 'data-centre': dataCentre, region, listen: address, control: controlAddress, log: logUrl, instances, 'log-level': 'error' })
  const daemons = await Promise.all([
    startDaemon({ role: 'entry', ...flags(entry) }),
    startDaemon({ role: 'agent', ...flags(agent), service: 'ledger', upstream })
  ])
  t.teardown(() => {
    for (const daemon of daemons) daemon.kill('SIGKILL')
    for (const { server } of served) {
      server.closeAllConnections()
      server.close()
    }
  })
  list.set([entry, agent])
  const run = async (...argv: readonly string[]): ReturnType<typeof runProgram> => await runProgram('pollendyke', argv, { POLLENDYKE_LOG: logUrl, POLLENDYKE_INSTANCES: instances })
  const file = join(folder, 'configuration.json')
  writeFileSync(file, JSON.stringify(configuration))
  t.match(await run('apply', file, '--wait', '60'), { code: 0, output: /accepted at offset 0.*\nin force on 2 of 2 nodes/ })
  list.set([entry, agent, unresponsive])
  const out = await run('zone', 'out', 'rajkot', '--wait', '1', '--json')
  t.equal(out.code, 4)
  t.match(JSON.parse(out.output), { tag: 'accepted', offset: 1, inForce: ['entry-a', 'ledger-a'], behind: [], silent: ['ledger-b'] })
  t.match((await run('plan', file)).output, /~ dataCentres\.rajkot\nrajkot: 1 instances affected: ledger-b/)

  let id = ''
  let status = 0
  const sendRequest = async (): Promise<void> => {
    const answer = await fetch(`http://${entry.address}/services/ledger/lookup`, { method: 'POST', headers: { 'pollendyke-organisation': 'ahmedabad-district' }, body: '{}' })
    await answer.text()
    id = answer.headers.get('pollendyke-request-id') ?? ''
    status = answer.status
  }
  const requestTimer = setInterval(() => { sendRequest().catch(() => {}) }, 200)
  await until(() => status === 200).finally(() => { clearInterval(requestTimer) })
  t.match((await run('status')).output, /ledger-a +ahmedabad +open/)
  t.match(await run('explain', id), { code: 0, output: /entry-a|ledger/ })
  t.match(await run('explain', 'no-such-id'), { code: 1, output: /no entry that answered remembers/ })
  t.match(await run('status', '--entry', unresponsive.address), { code: 3, errors: /no entry answered/ })
})
