/** The store comes back from an older copy; later an operator takes a key away: the entries must not go on with it. */
import { fileURLToPath } from 'node:url'
import { call } from '../stand-in/caller.mjs'
import { delay, exitStatus } from '../stand-in/deployment.mjs'
import { PlainDeployment } from '../stand-in/plain-deployment.mjs'

/** Bounds of the pages. */
const stableMilliseconds = 3000
const applyMilliseconds = 2000
/** The drill: how long the store is away, and how old its copy is, milliseconds. */
const awayMilliseconds = 1000
const copyAgeMilliseconds = 4000
/** Time for which the callers go on once the change must be in force, milliseconds. */
const judgedMilliseconds = 10_000
/** The key that is taken away. */
const droppedKey = 'bvk9m68k7b2ex5wa5xwy'

function answer ({ id, response, server }) {
  response.writeHead(200, { 'x-attempt-id': id, 'x-server-stamp': `${server.id}.${id}`, 'content-length': 5 }).end('badge')
}

const service = new PlainDeployment(fileURLToPath(new URL('.', import.meta.url)), { entries: 4, servers: 2, timeoutMilliseconds: 800, answer })
const { deployment, store } = service
await service.start([droppedKey])

/** Sends one request with the key to each entry. */
async function sendToAll (phase) {
  return await Promise.all(deployment.entries.map(async ({ name, ip }) => {
    const { id, status, text } = await call(`${ip}:8005`, { path: '/safe/record', deadline: 1500, headers: { authorization: `Token ${droppedKey}` } })
    deployment.record('caller has its answer', { phase, entry: name, id, status, text })
    return status
  }))
}

const before = await sendToAll('the key is there')
await delay(3000)
for (const version of [8, 9, 10]) {
  service.configure(version, [droppedKey])
  await delay(500)
}
await delay(1000)
if (deployment.hasTrouble) {
  const copiedAt = performance.now() - copyAgeMilliseconds + awayMilliseconds
  deployment.record('drill: the store is away')
  store.goAway()
  await delay(awayMilliseconds)
  store.comeBack(copiedAt)
  deployment.record('drill: the store is back from an older copy', { era: store.era, end: store.recordsOf('keyed.op').length })
  service.configure(10, [droppedKey])
  for (const server of service.servers) service.announce(server)
}
await delay(stableMilliseconds + 2000)
const calm = await sendToAll('after the drill')
service.configure(11, [])
await delay(applyMilliseconds)
const statuses = []
for (const until = performance.now() + judgedMilliseconds; performance.now() < until;) {
  statuses.push(...await sendToAll('the key must be gone'))
  await delay(250)
}
const served = statuses.filter(status => status === 200).length
deployment.record('summary', { before, calm, requests: statuses.length, servedWithDroppedKey: served })
if (![...before, ...calm].every(status => status === 200)) deployment.finish(exitStatus.notRun, 'requests with the key were not served while it was there')
deployment.finish(served > 0 ? exitStatus.broken : exitStatus.held, `CONFIG: ${served} of ${statuses.length} requests later than ${applyMilliseconds / 1000} s after the acknowledgement ran with a dropped key`)
