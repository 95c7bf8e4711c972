import { connect } from 'node:net'
import { request } from 'node:http'
import { test } from 'tap'
import { freshAddress, runProgram, startDaemon, startStandIn, type Started } from '../script/launch.js'
import type { ManagedProcess } from '../script/process.js'

const requiredFlags = ['--role', 'entry', '--instance', 'entry-0', '--data-centre', 'north', '--region', 'upper', '--log', 'http://127.0.0.1:1', '--instances', 'http://127.0.0.1:1']
const addressFlags = ['--listen', '127.0.0.1:1', '--control', '127.0.0.1:2']

interface SettingsCase {
  readonly name: string
  readonly argv: readonly string[]
  readonly environment?: Readonly<Record<string, string>>
  readonly code: number
  readonly messages: readonly string[]
}

const settingsCases: readonly SettingsCase[] = [
  { name: 'explains every flag', argv: ['--help'], code: 0, messages: ['--role', 'POLLENDYKE_LINK_BYTES', 'Examples:', '--body-bytes'] },
  { name: 'refuses an unknown flag', argv: [...requiredFlags, ...addressFlags, '--colour', 'blue'], code: 2, messages: ['--colour: is not a known flag'] },
  { name: 'refuses a positional argument', argv: [...requiredFlags, ...addressFlags, 'start'], code: 2, messages: ['start: is not a flag'] },
  { name: 'refuses a flag without its value', argv: [...requiredFlags, ...addressFlags, '--trace'], code: 2, messages: ['--trace (POLLENDYKE_TRACE): needs a value'] },
  { name: 'refuses a flag given twice', argv: [...requiredFlags, ...addressFlags, '--region', 'lower'], code: 2, messages: ['--region (POLLENDYKE_REGION): is given more than once'] },
  { name: 'refuses invalid addresses', argv: [...requiredFlags, '--listen', '127.0.0.300:1', '--control', '127.0.0.1:70000'], code: 2, messages: ['--listen (POLLENDYKE_LISTEN): must be an IP number and a port', '--control (POLLENDYKE_CONTROL): must be an IP number and a port'] },
  { name: 'refuses one address for both servers', argv: [...requiredFlags, '--listen', '127.0.0.1:1', '--control', '127.0.0.1:1'], code: 2, messages: ['--control (POLLENDYKE_CONTROL): must differ from --listen (POLLENDYKE_LISTEN)'] },
  { name: 'refuses a flag of the other role', argv: [...requiredFlags, ...addressFlags, '--upstream', 'http://127.0.0.1:1'], code: 2, messages: ['--upstream: does not belong to role entry'] },
  { name: 'names all missing settings together', argv: ['--role', 'agent'], code: 2, messages: ['--instance (POLLENDYKE_INSTANCE): is missing', '--log (POLLENDYKE_LOG): is missing', '--service (POLLENDYKE_SERVICE): is missing', '--upstream (POLLENDYKE_UPSTREAM): is missing'] },
  { name: 'names missing settings even if the role is unknown', argv: ['--role', 'captain', '--listen', 'here'], code: 2, messages: ['--role (POLLENDYKE_ROLE): must be entry or agent, not "captain"', '--listen (POLLENDYKE_LISTEN): must be', '--region (POLLENDYKE_REGION): is missing'] },
  { name: 'reads environment variables', argv: ['--role', 'entry'], environment: { POLLENDYKE_LISTEN: 'nowhere', POLLENDYKE_BODY_BYTES: '-1' }, code: 2, messages: ['--listen (POLLENDYKE_LISTEN): must be', '--body-bytes (POLLENDYKE_BODY_BYTES): must be a whole number above 0, not "-1"'] },
  { name: 'reports that an address does not belong to this machine', argv: [...requiredFlags, '--listen', '192.0.2.1:80', '--control', '127.0.0.1:2'], code: 1, messages: ['--listen (POLLENDYKE_LISTEN): 192.0.2.1:80 is not an address of this machine'] }
]

for (const { name, argv, environment, code, messages } of settingsCases) {
  test(`the daemon ${name}`, async t => {
    const result = await runProgram('pollendyked', argv, environment)
    t.equal(result.code, code, result.errors)
    for (const text of messages) t.match(result.output + result.errors, text)
  })
}

for (const name of ['listen', 'control'] as const) {
  test(`the daemon reports that its ${name} address is in use`, async t => {
    const standIn = await startStandIn('log')
    const addresses = { listen: freshAddress(), control: freshAddress(), [name]: standIn.listen }
    const result = await runProgram('pollendyked', [...requiredFlags, '--listen', addresses.listen, '--control', addresses.control])
    await standIn.process.end()
    t.equal(result.code, 1, result.errors)
    t.match(result.errors, `--${name} (POLLENDYKE_${name.toUpperCase()}): ${standIn.listen} is already in use`)
  })
}

interface HostileCase {
  readonly name: string
  /** Raw bytes to send in place of an HTTP request. */
  readonly bytes?: string
  readonly path?: string
  readonly method?: string
  readonly body?: Buffer
  /** Expected status; 0 when any status or a closed connection is accepted. */
  readonly status: number
}

const largeBody = Buffer.alloc(6 << 20, 'x')
const hostileCases: readonly HostileCase[] = [
  { name: 'bytes that are not HTTP', bytes: '\u0000\u0001\u0002 nonsense\r\n\r\n', status: 400 },
  { name: 'an oversized header', bytes: `GET / HTTP/1.1\r\nhost: ${'x'.repeat(1 << 17)}\r\n\r\n`, status: 400 },
  { name: 'two content-length headers', bytes: 'POST /run/x HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello', status: 400 },
  { name: 'a target that is not a URL', bytes: 'GET // HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', status: 400 },
  { name: 'a truncated body', bytes: 'POST /run/sign-off HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nhal', status: 0 },
  { name: 'an unknown path', path: '/no/such/path', status: 404 },
  { name: 'an unknown method', path: '/status', method: 'DELETE', status: 0 },
  { name: 'a body over the limit at the entry', path: '/services/ledger/sign-off', method: 'POST', body: largeBody, status: 0 },
  { name: 'a body over the limit at the agent', path: '/run/sign-off', method: 'POST', body: largeBody, status: 0 },
  { name: 'a body that is not JSON', path: '/services/drafts/completions', method: 'POST', body: Buffer.from('{"prompt":'), status: 0 }
]

for (const role of ['entry', 'agent'] as const) {
  test(`the ${role} stays available after hostile HTTP`, async t => {
    const standIn = await startStandIn('log')
    const daemon = await startNode(role, standIn)
    for (const hostile of hostileCases) {
      const status = await sendHostile(daemon.listen, hostile)
      if (hostile.status !== 0) t.equal(status, hostile.status, hostile.name)
      t.equal(await send(daemon.listen, '/status', 'GET', undefined), 200, `available after ${hostile.name}`)
    }
    await daemon.process.end()
    await standIn.process.end()
  })

  test(`the ${role} refuses a body over the limit with status 413`, async t => {
    const standIn = await startStandIn('log')
    const daemon = await startNode(role, standIn)
    const path = role === 'entry' ? '/services/ledger/sign-off' : '/run/sign-off'
    for (let attempt = 0; attempt < 10; attempt += 1) t.equal(await send(daemon.listen, path, 'POST', largeBody), 413)
    await daemon.process.end()
    await standIn.process.end()
  })
}

async function startNode (role: 'entry' | 'agent', standIn: Started): Promise<{ readonly process: ManagedProcess, readonly listen: string }> {
  const [listen, control] = [freshAddress(), freshAddress()]
  const upstream: Readonly<Record<string, string>> = role === 'agent' ? { service: 'ledger', upstream: `http://${standIn.listen}` } : {}
  const started = await startDaemon({ role, instance: 'node', 'data-centre': 'north', region: 'upper', listen, control, log: `http://${standIn.listen}`, instances: `http://${standIn.listen}`, 'log-level': 'silent', ...upstream })
  return { process: started, listen }
}

async function sendHostile (listen: string, { bytes, path = '/', method = 'GET', body }: HostileCase): Promise<number> {
  return bytes === undefined ? await send(listen, path, method, body) : await sendRaw(listen, bytes)
}

/** Status of the answer; 0 when the connection closed without one. */
function send (listen: string, path: string, method: string, body: Buffer | undefined): Promise<number> {
  return new Promise(resolve => {
    const call = request(`http://${listen}${path}`, { method, agent: false }, response => {
      response.resume()
      resolve(response.statusCode ?? 0)
    })
    call.on('error', () => { resolve(0) })
    call.end(body)
  })
}

function sendRaw (listen: string, bytes: string): Promise<number> {
  const [host, port] = listen.split(':')
  return new Promise(resolve => {
    let text = ''
    const socket = connect(Number(port), host, () => { socket.end(bytes) })
    socket.on('data', part => { text += part.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0)) })
  })
}
