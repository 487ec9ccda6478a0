/** The links of one box: those it accepts and those it opens and keeps open. */
import { createServer, connect } from 'node:net'
import type { Server, Socket } from 'node:net'
import { listen } from '../runtime/index.js'
import { Link } from './link.js'
import type { LinkHost } from './link.js'

const firstRetryMs = 50

/** How links are opened, ms. */
export interface DialTiming {
  /** The longest that a connection may take to come about. */
  readonly connectMs: number
  /** The longest pause between tries; it doubles up to this. */
  readonly longestRetryMs: number
}

const defaultTiming: DialTiming = { connectMs: 3000, longestRetryMs: 2000 }

interface Dialed<Message> {
  readonly host: string
  readonly port: number
  link: Link<Message> | null
  retryMs: number
  timer: NodeJS.Timeout | null
  wanted: boolean
}

export class LinkPool<Message> {
  #host: LinkHost<Message>
  #server: Server | null = null
  #sockets = new Set<Socket>()
  #dialed = new Map<string, Dialed<Message>>()
  #bytesIn = 0
  #bytesOut = 0
  #links = new Set<Link<Message>>()
  #closed = false
  #timing: DialTiming

  constructor (host: LinkHost<Message>, timing = defaultTiming) {
    this.#timing = timing
    this.#host = {
      id: host.id,
      secret: host.secret,
      pulse: host.pulse,
      clock: host.clock,
      receive: (link, message) => host.receive(link, message),
      noteOpen: link => {
        this.#callBack(link.peerHost)
        host.noteOpen(link)
      },
      noteFault: (fault, peer) => host.noteFault(fault, peer),
      noteClosed: link => {
        this.#forget(link)
        host.noteClosed(link)
      }
    }
  }

  /** Bytes over all links so far, in and out. */
  get traffic (): { readonly bytesIn: number, readonly bytesOut: number } {
    let { bytesIn, bytesOut } = { bytesIn: this.#bytesIn, bytesOut: this.#bytesOut }
    for (const link of this.#links) {
      bytesIn += link.bytesIn
      bytesOut += link.bytesOut
    }
    return { bytesIn, bytesOut }
  }

  /** Starts to accept links; resolves with the port. */
  listen (host: string, port: number): Promise<number> {
    const server = createServer(socket => this.#accept(socket, 'listener'))
    this.#server = server
    return listen(server, { host, port })
  }

  /** Opens a link and opens it again whenever it breaks, until `hangUp`. */
  dial (host: string, port: number): void {
    const key = `${host}:${port}`
    if (this.#dialed.has(key) || this.#closed) return
    const dialed: Dialed<Message> = { host, port, link: null, retryMs: firstRetryMs, timer: null, wanted: true }
    this.#dialed.set(key, dialed)
    this.#connect(dialed)
  }

  /** The link to an address that was dialed, where it is open. */
  find (host: string, port: number): Link<Message> | undefined {
    const link = this.#dialed.get(`${host}:${port}`)?.link
    return link?.isOpen === true ? link : undefined
  }

  /** The links that were dialed and are open. */
  get dialed (): Link<Message>[] {
    return [...this.#dialed.values()].flatMap(({ link }) => link?.isOpen === true ? [link] : [])
  }

  /** Hosts that were dialed, with their links that are open and were heard on since a time on the process's rising clock, ms. */
  listHeard (since: number): { readonly host: string, readonly link: Link<Message> }[] {
    return [...this.#dialed.values()].flatMap(({ host, link }) => link?.isOpen === true && link.heardAt >= since ? [{ host, link }] : [])
  }

  hangUp (host: string, port: number): void {
    const key = `${host}:${port}`
    const dialed = this.#dialed.get(key)
    if (dialed === undefined) return
    this.#dialed.delete(key)
    dialed.wanted = false
    if (dialed.timer !== null) clearTimeout(dialed.timer)
    dialed.link?.close()
  }

  close (): void {
    this.#closed = true
    this.#server?.close()
    for (const { host, port } of [...this.#dialed.values()]) this.hangUp(host, port)
    for (const socket of this.#sockets) socket.destroy()
  }

  #connect (dialed: Dialed<Message>): void {
    dialed.timer = null
    const socket = connect({ host: dialed.host, port: dialed.port })
    const timer = setTimeout(() => socket.destroy(), this.#timing.connectMs)
    socket.once('connect', () => {
      clearTimeout(timer)
      dialed.retryMs = firstRetryMs
      dialed.link = this.#accept(socket, 'caller')
    })
    socket.on('error', () => {})
    socket.once('close', () => {
      clearTimeout(timer)
      dialed.link = null
      if (!dialed.wanted || this.#closed) return
      dialed.timer = setTimeout(() => this.#connect(dialed), dialed.retryMs)
      dialed.retryMs = Math.min(this.#timing.longestRetryMs, dialed.retryMs * 2)
    })
  }

  // Who calls us has started: the next try to call them need not wait.
  #callBack (host: string): void {
    for (const dialed of this.#dialed.values()) {
      if (dialed.host !== host || dialed.timer === null) continue
      clearTimeout(dialed.timer)
      this.#connect(dialed)
    }
  }

  #accept (socket: Socket, side: 'caller' | 'listener'): Link<Message> {
    this.#sockets.add(socket)
    socket.once('close', () => this.#sockets.delete(socket))
    const link = new Link<Message>(socket, side, this.#host)
    this.#links.add(link)
    return link
  }

  #forget (link: Link<Message>): void {
    this.#links.delete(link)
    this.#bytesIn += link.bytesIn
    this.#bytesOut += link.bytesOut
  }
}
